// Package limit controls the admission of steps. It enforces each plan's rate and concurrency over
// the instances of a data centre, shares an instance fairly between its customers, and refuses
// steps that can't meet the caller's deadline.
//
// The instances of a data centre divide a plan's limits among themselves without the store. An
// instance with little demand uses its default share, half of its part by weight, and sends no
// request. With more demand it requests a share from the plan's arbiter, which divides the rest
// by demand. All instances find the arbiter by hashing the plan's name over the live instances.
// Inside an instance steps wait in one queue for each plan, served by weighted fair queueing
// (Demers, Keshav and Shenker, SIGCOMM 1989) over the time that they occupy slots.
//
// Quotas enforces each customer's rate and burst over all instances and data centres.
package limit
