package node

import (
	"hash/maphash"
	"sync"
	"time"

	"hyssopbridge/limits"
)

// retryBudgets holds one retry budget per service. It implements
// proxy.RetryBudget.
type retryBudgets struct {
	clock    func() time.Duration
	services sync.Map // service name -> *limits.RetryBudget
}

func (b *retryBudgets) forService(service string) *limits.RetryBudget {
	if v, ok := b.services.Load(service); ok {
		return v.(*limits.RetryBudget)
	}
	seed := maphash.String(maphash.MakeSeed(), service)
	v, _ := b.services.LoadOrStore(service, limits.NewRetryBudget(seed))
	return v.(*limits.RetryBudget)
}

// RecordRequest implements proxy.RetryBudget.
func (b *retryBudgets) RecordRequest(service string) { b.forService(service).RecordRequest(b.clock()) }

// AllowRetry implements proxy.RetryBudget.
func (b *retryBudgets) AllowRetry(service string) bool { return b.forService(service).Allow(b.clock()) }
