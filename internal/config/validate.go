package config

import (
	"foxhall/internal/listfile"
	"foxhall/internal/plan"
	"foxhall/internal/usage"
)

// Validate checks each list against its own rules, and that each grant refers to a plan of the plans
// list. The error, if any, is listfile.Problems.
func Validate(plans *plan.List, list *usage.List) error {
	var problems listfile.Problems
	problems = appendProblems(problems, plans.Check())
	problems = appendProblems(problems, list.Check())
	checker := list.Checker()
	for i := range list.Grants {
		name := list.Grants[i].Plan
		if plans.Lookup(name) == nil {
			checker.BeginEntry("grant", i, name)
			checker.AddProblem("plan", "a plan of the plans list", "%q", name)
		}
	}
	return append(problems, checker.Problems...).Err()
}

func appendProblems(problems listfile.Problems, err error) listfile.Problems {
	if found, ok := err.(listfile.Problems); ok {
		return append(problems, found...)
	}
	return problems
}

// withLines adds line numbers to problems found in the merged lists, for entries that are in the
// files of the proposal.
func withLines(err error, p *Proposal) error {
	problems, ok := err.(listfile.Problems)
	if !ok {
		return err
	}
	for i := range problems {
		problem := &problems[i]
		switch {
		case problem.Line > 0:
		case problem.List == plan.ListName && p.Plans != nil:
			problem.Line = p.Plans.Line(problem.Name, problem.Key)
		case problem.List == usage.ListName && p.Usage != nil:
			problem.Line = p.Usage.Line(problem.Table, problem.Name, problem.Key)
		}
	}
	return problems
}
