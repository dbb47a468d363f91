package main

import (
	"strconv"

	"carawayrouter.example/router/internal/load/observe"
)

// row is one line of the table that run prints.
type row struct {
	name  string
	value func(*observe.Result) string
}

func count(name string, f func(*observe.Result) int) row {
	return row{name, func(r *observe.Result) string { return strconv.Itoa(f(r)) }}
}

func fraction(name string, f func(*observe.Result) float64) row {
	return row{name, func(r *observe.Result) string { return number(f(r)) }}
}

var rows = []row{
	count("requests", func(r *observe.Result) int { return r.Requests }),
	count("answered", func(r *observe.Result) int { return r.Answered }),
	fraction("goodput_fraction", func(r *observe.Result) float64 { return r.GoodputFraction }),
	fraction("goodput_of_capacity", func(r *observe.Result) float64 { return r.GoodputOfCapacity }),
	fraction("wasted_prefill_fraction", func(r *observe.Result) float64 { return r.WastedPrefill }),
	fraction("worst_account_fraction", func(r *observe.Result) float64 { return r.WorstAccount }),
	count("wrongful_refusals", func(r *observe.Result) int { return r.WrongfulRefusals }),
	fraction("ttft_p95_seconds", func(r *observe.Result) float64 { return r.TTFTP95 }),
	fraction("itl_p95_seconds", func(r *observe.Result) float64 { return r.ITLP95 }),
	fraction("ticket_in_force_max_seconds", func(r *observe.Result) float64 { return r.TicketInForceSeconds }),
	fraction("excess_tokens", func(r *observe.Result) float64 { return r.ExcessTokens }),
	count("duplicate_answers", func(r *observe.Result) int { return r.DuplicateAnswers }),
	count("incomplete_answers", func(r *observe.Result) int { return r.IncompleteAnswers }),
	count("cut_requests", func(r *observe.Result) int { return r.CutRequests }),
	count("false_not_run", func(r *observe.Result) int { return r.FalseNotRun }),
	count("operations_run_twice", func(r *observe.Result) int { return r.OperationsRunTwice }),
	count("key_leaks", func(r *observe.Result) int { return r.KeyLeaks }),
	count("held_after_drain", func(r *observe.Result) int { return r.HeldAfterDrain }),
	count("late_new_work", func(r *observe.Result) int { return r.LateNewWork }),
	count("withdrawn_key_served", func(r *observe.Result) int { return r.WithdrawnKeyServed }),
	count("tickets_reverted", func(r *observe.Result) int { return r.TicketsReverted }),
	count("engine_full_refusals", func(r *observe.Result) int { return r.EngineFull }),
}
