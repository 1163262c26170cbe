// Package budget keeps each plan's spending within its budget without a coordination service.
//
// An instance draws chunks of a plan's budget, its allotments, from an object in the store by
// conditional update, and spends only what it holds. The draws counted in the object never exceed
// the budget, and what all instances have spent and hold never exceeds the draws. The budget is
// therefore kept through any network partition, lost response or crash. What an instance holds
// when it crashes can't be spent until the window ends.
package budget
