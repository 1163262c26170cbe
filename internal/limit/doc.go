// Package limit admits steps: within each plan's rate and concurrency over the
// instances of a data centre, fairly between the customers of an instance, and
// only while the caller's deadline can still be met.
//
// The instances of a data centre divide a plan's limits among themselves
// without the store. An instance with little demand uses half of its part by
// weight and asks nobody. With more it asks the plan's arbiter, an instance
// that all find by hashing the plan's name over the living instances, and
// which divides the rest by demand. Inside an instance steps wait in one queue
// for each plan, served by weighted fair queueing (Demers, Keshav and Shenker,
// SIGCOMM 1989) over the time that slots are occupied.
//
// Quotas hold customers to a rate with a burst over all instances and data centres; see there.
package limit
