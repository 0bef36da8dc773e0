package dynamic

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
)

// Customer is an account whose callers identify themselves by a key.
type Customer struct {
	Name     string
	Keys     []string // each belongs to one customer only
	Priority int      // 0 is the highest; goes before the priority of routes
	Quota    Quota

	defaultWeight float64 // Weight without a quota
}

// Customers states who may send requests.
type Customers struct {
	// KeysRequired is set if requests need the key of a customer, except on public
	// routes. Without customers no key is valid then, as after the withdrawal of the
	// last one. Accounts imply it.
	KeysRequired bool
	Accounts     []Customer
}

// Weight returns the customer's share of a service that has too little room, in
// relation to those of other customers of the configuration: the rate of its
// quota, which tells a large customer from one that floods. Without a quota it is
// the median rate of those with one. It is 0 if no customer has a quota, or if
// the customer is not of a configuration.
func (c *Customer) Weight() float64 {
	if c.Quota.Limited() {
		return c.Quota.PerSecond
	}
	return c.defaultWeight
}

// medianRate returns the median rate of the quotas, and 0 if there are none.
func medianRate(customers []Customer) float64 {
	var rates []float64
	for i := range customers {
		if q := customers[i].Quota; q.Limited() {
			rates = append(rates, q.PerSecond)
		}
	}
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// Quota bounds the requests of one customer at all nodes together. There is no
// bound if PerSecond is 0.
type Quota struct {
	PerSecond float64 // requests per second
	Burst     float64 // requests allowed on top of the rate
}

// Limited reports whether the quota bounds anything.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// keyHash is the hash by which keys are looked up, so that the time of a lookup
// does not depend on how much of a key a caller has guessed.
type keyHash [sha256.Size]byte

func hashKey(key string) keyHash { return sha256.Sum256([]byte(key)) }

// addCustomers validates the customers and indexes them by their keys. Key
// values do not appear in errors, since these are logged.
func (c *Config) addCustomers(customers []Customer) error {
	c.customers = make(map[keyHash]*Customer, len(customers))
	names := make(map[string]bool, len(customers))
	defaultWeight := medianRate(customers)
	var errs []error
	for i := range customers {
		customer := customers[i]
		customer.defaultWeight = defaultWeight
		keys := customer.Keys
		customer.Keys = nil
		switch {
		case customer.Name == "":
			errs = append(errs, errors.New("customer without a name"))
			continue
		case names[customer.Name]:
			errs = append(errs, fmt.Errorf("customer %q is defined twice", customer.Name))
			continue
		case !(customer.Quota.PerSecond >= 0 && customer.Quota.Burst >= 0): // also refuses NaN
			errs = append(errs, fmt.Errorf("customer %q: quota %+v is negative", customer.Name, customer.Quota))
			continue
		}
		names[customer.Name] = true
		errs = append(errs, c.addKeys(&customer, keys))
	}
	return errors.Join(errs...)
}

func (c *Config) addKeys(customer *Customer, keys []string) error {
	for i, key := range keys {
		if key == "" {
			return fmt.Errorf("customer %q: key %d is empty", customer.Name, i)
		}
		h := hashKey(key)
		if other := c.customers[h]; other != nil && other.Name != customer.Name {
			return fmt.Errorf("customer %q: key %d belongs to customer %q as well", customer.Name, i, other.Name)
		}
		c.customers[h] = customer
	}
	return nil
}

// Customer returns the customer that holds the key, or nil.
func (c *Config) Customer(key string) *Customer {
	if key == "" {
		return nil
	}
	return c.customers[hashKey(key)]
}
