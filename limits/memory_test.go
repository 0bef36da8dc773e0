package limits

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

func testMemory(limit int64) *Memory {
	start := time.Now()
	return NewMemory(limit, func() time.Duration { return time.Since(start) }, nil)
}

// Guards against revoking a body that makes progress in place of one that does
// not, and against waiting for memory that a revoked body gives back.
func TestMemoryRevokesLeastAdvanced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := testMemory(1000)
		var revoked []string
		open := func(name string, held int64) (*MemoryAccount, *Lag) {
			a, lag := m.Open(), &Lag{}
			a.SetTransfer(lag, func() {
				revoked = append(revoked, name)
				go a.Close()
			})
			if err := a.Take(held); err != nil {
				t.Fatal(err)
			}
			return a, lag
		}
		stopped, stoppedLag := open("stopped", 400)
		trickling, tricklingLag := open("trickling", 200)
		advancing, advancingLag := open("advancing", 400)
		stoppedLag.Begin(m.now())
		for range 20 {
			tricklingLag.Begin(m.now())
			advancingLag.Begin(m.now())
			time.Sleep(100 * time.Millisecond)
			tricklingLag.End(m.now(), 1)
			advancingLag.End(m.now(), lagRate/10)
		}
		other := m.Open()
		if err := other.Take(300); err != nil {
			t.Error(err)
		}
		if len(revoked) != 1 || revoked[0] != "stopped" {
			t.Errorf("revoked %v, want the body that has stopped", revoked)
		}
		if err := other.Take(300); err != nil || len(revoked) != 2 || revoked[1] != "trickling" {
			t.Errorf("revoked %v, %v, want then the trickling body", revoked, err)
		}
		if err := other.Take(300); err == nil || advancing.Revoked() {
			t.Errorf("error %v, revoked %v: a body that advances must not be revoked", err, advancing.Revoked())
		}
		for _, a := range []*MemoryAccount{stopped, trickling, advancing, other} {
			a.Close()
		}
		if m.Used() != 0 {
			t.Errorf("%d bytes in use after the end", m.Used())
		}
	})
}

// Guards against bytes that are counted twice or never given back, and against
// taking more than the budget.
func TestMemoryAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := testMemory(1000)
		accounts := []*MemoryAccount{m.Open(), m.Open(), m.Open()}
		for _, a := range accounts {
			a.SetTransfer(&Lag{behind: time.Second}, func() {})
		}
		held, forced := map[*MemoryAccount]int64{}, int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				a, n := rapid.SampledFrom(accounts).Draw(t, "account"), rapid.Int64Range(1, 600).Draw(t, "bytes")
				if a.TryTake(n) {
					held[a] += n
				}
			},
			"force": func(t *rapid.T) {
				a, n := rapid.SampledFrom(accounts).Draw(t, "account"), rapid.Int64Range(1, 200).Draw(t, "bytes")
				if !a.closed {
					a.Force(n)
					held[a] += n
					forced += n
				}
			},
			"shrink": func(t *rapid.T) {
				a, n := rapid.SampledFrom(accounts).Draw(t, "account"), rapid.Int64Range(0, 300).Draw(t, "bytes")
				a.Shrink(n)
				held[a] = min(held[a], n)
			},
			"close": func(t *rapid.T) {
				a := rapid.SampledFrom(accounts).Draw(t, "account")
				a.Close()
				held[a] = 0
				for i := range accounts {
					if accounts[i] == a {
						accounts[i] = m.Open()
						accounts[i].SetTransfer(&Lag{behind: time.Second}, func() {})
					}
				}
			},
			"": func(t *rapid.T) {
				var sum, revoking int64
				for a, n := range held {
					sum += n
					if a.revoked {
						revoking += n
					}
				}
				if m.used != sum || m.revoking != revoking || m.used > m.limit+forced {
					t.Fatalf("used %d, revoking %d, limit %d; held %d, by revoked accounts %d", m.used, m.revoking, m.limit, sum, revoking)
				}
			},
		})
	})
}

// Guards against races between accounts.
func TestMemoryConcurrently(t *testing.T) {
	m := testMemory(50 << 10)
	var wait sync.WaitGroup
	for range 16 {
		wait.Go(func() {
			for range 200 {
				a := m.Open()
				a.SetTransfer(&Lag{behind: time.Second}, func() { go a.Close() })
				if a.TryTake(8 << 10) {
					a.Shrink(1 << 10)
				}
				a.Force(1 << 10)
				a.Close()
			}
		})
	}
	wait.Wait()
	if m.Used() != 0 || len(m.accounts) != 0 {
		t.Errorf("%d bytes in %d accounts after the end", m.Used(), len(m.accounts))
	}
}

// Guards against a body that takes memory after its account was closed, which
// nobody gives back.
func TestMemoryTakeAfterClose(t *testing.T) {
	m := NewMemory(100, func() time.Duration { return 0 }, nil)
	a := m.Open()
	a.Close()
	if err := a.Take(10); err == nil || m.Used() != 0 {
		t.Errorf("error %v, %d bytes in use after an account was closed", err, m.Used())
	}
}

// Guards against transfers that are ended for a body which is larger than the
// whole budget and so cannot be taken in any case.
func TestMemoryRevokesNothingInVain(t *testing.T) {
	m := NewMemory(100, func() time.Duration { return 0 }, nil)
	slow := m.Open()
	slow.SetTransfer(&Lag{behind: time.Second}, func() {})
	if !slow.TryTake(50) || m.Open().TryTake(101) || slow.Revoked() {
		t.Errorf("%d bytes in use, the slow transfer is revoked: %v", m.Used(), slow.Revoked())
	}
}
