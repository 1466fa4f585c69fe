// Package hedger decides when a request that may be repeated gets a second attempt at another target while the first one is
// still unanswered.
//
// The delay before the second attempt follows the latest responses of the route and service, so that about the share of
// requests that operators allow is still unanswered then. The share also limits the second attempts in each window. Which target
// gets them, and whether the service has capacity to spare, is decided by placer.Spare.
package hedger
