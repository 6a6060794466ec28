package gateway

import (
	"context"

	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/quota"
	"gooseberrypin.example/router/refusal"
)

type (
	// CustomerQuota decides whether requests of customers are within their quotas over all entries together.
	CustomerQuota interface {
		// Take takes the amount of a request from the quota of its customer, if it is available.
		Take(ctx context.Context, customer string, amount float64) quota.Decision
		// Return gives back an amount of a request that did not run.
		Return(customer string, amount float64)
		// Charge counts a further send of an allowed request.
		Charge(customer string, amount float64)
	}

	// unlimitedCustomers is a CustomerQuota without limits.
	unlimitedCustomers struct{}

	// charge is what a request has taken of its customer's quota.
	charge struct {
		amount float64
		// taken includes further sends.
		taken float64
	}
)

// Take implements CustomerQuota.
func (unlimitedCustomers) Take(context.Context, string, float64) quota.Decision {
	return quota.Allowed{}
}

// Return implements CustomerQuota.
func (unlimitedCustomers) Return(string, float64) {}

// Charge implements CustomerQuota.
func (unlimitedCustomers) Charge(string, float64) {}

// WithCustomerQuota sets what decides whether requests of customers are within their quotas.
func WithCustomerQuota(q CustomerQuota) Option {
	return func(g *Gateway) { g.customerQuota = q }
}

// takeCustomerQuota takes the amount of the request from the quota of its customer. It returns a refusal if the quota is
// used up, and nil for a request without a customer.
func (ar *activeRequest) takeCustomerQuota(ctx context.Context) *refusal.Refusal {
	if ar.customer == nil {
		return nil
	}
	ar.charge.amount = quotaAmount(ar.customer.Quota, ar.request)
	switch d := ar.gateway.customerQuota.Take(ctx, ar.customer.Name, ar.charge.amount).(type) {
	case quota.Allowed:
		ar.charge.taken = ar.charge.amount
	case quota.Denied:
		return ar.refuseBeyondQuota(d)
	}
	return nil
}

// refuseBeyondQuota refuses a request that its customer's quota does not allow.
func (ar *activeRequest) refuseBeyondQuota(d quota.Denied) *refusal.Refusal {
	return refusal.New(refusal.RanNo, refusal.QuotaExceeded, d.RetryAfter, "the quota of %s is used up for a time, the request counts as %v %v",
		ar.customer.Name, ar.charge.amount, ar.customer.Quota.Unit)
}

// returnCustomerQuota gives back what the request took, if it did not run.
func (ar *activeRequest) returnCustomerQuota(refused *refusal.Refusal) {
	if ar.customer != nil && refused != nil && refused.Ran == refusal.RanNo {
		ar.gateway.customerQuota.Return(ar.customer.Name, ar.charge.taken)
	}
}

// chargeSend takes a further amount of the customer's quota for a send after which the request may have run again.
func (ar *activeRequest) chargeSend(reason SendReason) {
	if ar.customer == nil {
		return
	}
	switch reason {
	case FirstTry, Prefill, AfterNotRun, Move:
	case Retry, Hedge, Resume:
		ar.charge.taken += ar.charge.amount
		ar.gateway.customerQuota.Charge(ar.customer.Name, ar.charge.amount)
	}
}

// quotaAmount returns what a request counts against a quota.
func quotaAmount(q ingress.CustomerQuota, r *Request) float64 {
	switch {
	case q.Unit == ingress.UnitRequests:
		return 1
	case r.Generation == nil:
		return float64(q.PlainTokens)
	}
	return float64(r.Generation.PromptTokens + r.Generation.MaxOutputTokens)
}
