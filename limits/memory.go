package limits

import (
	"sync"
	"time"

	"hyssopbridge/resultcode"
)

const (
	// memoryWait is how long a body waits for memory before it gives up. Two
	// megabytes pass over a slow link of 64 Mbit/s in this time.
	memoryWait = 250 * time.Millisecond
	// minLag is how far a transfer must be behind to be revoked for others.
	minLag = 500 * time.Millisecond
)

var errMemory = resultcode.New(resultcode.MemoryLimit, "the memory for bodies of requests and responses is in use").NotRun()

// Memory is a budget of bytes that bodies in memory share. When it is short, the
// body that holds the most bytes for the longest time without progress is
// revoked. Its methods are safe for concurrent use.
type Memory struct {
	limit    int64
	now      func() time.Duration
	onRevoke func(held int64, behind time.Duration)

	mu       sync.Mutex
	used     int64
	revoking int64 // held by accounts that were revoked and not yet closed
	accounts map[*MemoryAccount]struct{}
	freed    chan struct{} // closed and replaced when bytes are given back
}

// NewMemory returns a budget of limit bytes. onRevoke is called for each revoked
// account; it may be nil.
func NewMemory(limit int64, now func() time.Duration, onRevoke func(held int64, behind time.Duration)) *Memory {
	return &Memory{limit: limit, now: now, onRevoke: onRevoke, accounts: map[*MemoryAccount]struct{}{}, freed: make(chan struct{})}
}

// MemoryAccount is what one body holds of a Memory. The methods of a nil account
// do nothing.
type MemoryAccount struct {
	memory *Memory

	// The following are guarded by memory.mu.
	held    int64
	lag     *Lag   // nil while the account cannot be revoked
	revoke  func() // ends the transfer
	revoked bool
	closed  bool
}

// Open returns an account that holds nothing and cannot be revoked.
func (m *Memory) Open() *MemoryAccount { return &MemoryAccount{memory: m} }

// Used returns the bytes in use.
func (m *Memory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// SetTransfer states that the account serves a transfer that revoke ends, or with
// a nil lag that it serves none and so cannot be revoked. revoke must not call
// the account.
func (a *MemoryAccount) SetTransfer(lag *Lag, revoke func()) {
	if a == nil {
		return
	}
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	if !a.revoked {
		a.lag, a.revoke = lag, revoke
	}
}

// Take takes n more bytes. It waits for a short time if the budget is short, and
// returns a *resultcode.Error with code MemoryLimit if it stays so, the account
// was revoked or closed, or n exceeds the whole budget.
func (a *MemoryAccount) Take(n int64) error {
	if a == nil {
		return nil
	}
	timer := time.NewTimer(memoryWait)
	defer timer.Stop()
	for {
		ok, freed := a.tryTake(n)
		if ok {
			return nil
		}
		if freed == nil {
			return errMemory
		}
		select {
		case <-freed:
		case <-timer.C:
			return errMemory
		}
	}
}

// TryTake takes n more bytes and reports whether they were free.
func (a *MemoryAccount) TryTake(n int64) bool {
	if a == nil {
		return true
	}
	ok, _ := a.tryTake(n)
	return ok
}

// TakeIfIdle takes n bytes, also beyond the limit, if the budget is not in use, and
// reports whether it did.
func (a *MemoryAccount) TakeIfIdle(n int64) bool {
	if a == nil {
		return true
	}
	m := a.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used > 0 || a.closed {
		return false
	}
	a.add(n)
	return true
}

// tryTake takes n bytes or else returns a channel that is closed when bytes are
// given back, which is nil for a revoked or closed account and for more bytes than
// the budget has.
func (a *MemoryAccount) tryTake(n int64) (bool, <-chan struct{}) {
	m := a.memory
	m.mu.Lock()
	if a.revoked || a.closed || n > m.limit {
		m.mu.Unlock()
		return false, nil
	}
	if m.used+n <= m.limit {
		a.add(n)
		m.mu.Unlock()
		return true, nil
	}
	freed := m.freed
	revoke := m.revokeFor(n)
	m.mu.Unlock()
	revoke()
	return false, freed
}

// Force takes n more bytes in any case, for what must go on: the least advanced
// transfers are revoked until the budget holds again.
func (a *MemoryAccount) Force(n int64) {
	if a == nil {
		return
	}
	m := a.memory
	m.mu.Lock()
	if a.closed {
		m.mu.Unlock()
		return
	}
	a.add(n)
	revoke := m.revokeFor(0)
	m.mu.Unlock()
	revoke()
}

func (a *MemoryAccount) add(n int64) {
	a.memory.used += n
	a.held += n
	if a.revoked {
		a.memory.revoking += n
	}
	a.memory.accounts[a] = struct{}{}
}

// revokeFor chooses accounts to revoke so that n bytes become free. Accounts are
// ranked by the bytes they hold times how far they are behind. The caller must
// call the returned function without the lock.
func (m *Memory) revokeFor(n int64) func() {
	type choice struct {
		*MemoryAccount
		held   int64
		behind time.Duration
	}
	var chosen []choice
	now := m.now()
	for m.used-m.revoking+n > m.limit {
		var worst *MemoryAccount
		var worstRank float64
		var behind time.Duration
		for a := range m.accounts {
			if a.revoked || a.lag == nil {
				continue
			}
			lag := a.lag.At(now)
			if rank := float64(a.held) * lag.Seconds(); lag >= minLag && rank > worstRank {
				worst, worstRank, behind = a, rank, lag
			}
		}
		if worst == nil {
			break
		}
		worst.revoked = true
		m.revoking += worst.held
		chosen = append(chosen, choice{worst, worst.held, behind})
	}
	return func() {
		for _, c := range chosen {
			c.revoke()
			if m.onRevoke != nil {
				m.onRevoke(c.held, c.behind)
			}
		}
	}
}

// Revoked reports whether the account was revoked.
func (a *MemoryAccount) Revoked() bool {
	if a == nil {
		return false
	}
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	return a.revoked
}

// Shrink gives bytes back until the account holds at most n.
func (a *MemoryAccount) Shrink(n int64) {
	if a == nil {
		return
	}
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	a.giveBack(max(0, a.held-n))
}

// Close gives back what the account holds. It may be called more than once.
func (a *MemoryAccount) Close() {
	if a == nil {
		return
	}
	m := a.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	a.closed, a.lag = true, nil
	a.giveBack(a.held)
	delete(m.accounts, a)
}

func (a *MemoryAccount) giveBack(n int64) {
	if n == 0 {
		return
	}
	m := a.memory
	a.held -= n
	m.used -= n
	if a.revoked {
		m.revoking -= n
	}
	close(m.freed)
	m.freed = make(chan struct{})
}
