package node

import (
	"hash/maphash"
	"sync"
	"time"

	"hyssopbridge/limits"
)

// budgets holds a retry budget per service. It implements proxy.RetryBudget.
type budgets struct {
	clock    func() time.Duration
	services sync.Map // service name -> *limits.RetryBudget
}

func (b *budgets) of(service string) *limits.RetryBudget {
	if v, ok := b.services.Load(service); ok {
		return v.(*limits.RetryBudget)
	}
	seed := maphash.String(maphash.MakeSeed(), service)
	v, _ := b.services.LoadOrStore(service, limits.NewRetryBudget(seed))
	return v.(*limits.RetryBudget)
}

// RecordRequest implements proxy.RetryBudget.
func (b *budgets) RecordRequest(service string) { b.of(service).RecordRequest(b.clock()) }

// AllowRetry implements proxy.RetryBudget.
func (b *budgets) AllowRetry(service string) bool { return b.of(service).Allow(b.clock()) }
