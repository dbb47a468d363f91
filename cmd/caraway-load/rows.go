package main

import (
	"strconv"

	"carawayrouter.example/router/internal/load/observe"
)

// row is one row of the results table.
type row struct {
	name  string
	value func(*observe.Result) string
}

func countRow(name string, f func(*observe.Result) int) row {
	return row{name, func(r *observe.Result) string { return strconv.Itoa(f(r)) }}
}

func numberRow(name string, f func(*observe.Result) float64) row {
	return row{name, func(r *observe.Result) string { return formatNumber(f(r)) }}
}

var resultRows = []row{
	countRow("requests", func(r *observe.Result) int { return r.Requests }),
	countRow("answered", func(r *observe.Result) int { return r.Answered }),
	numberRow("goodput_fraction", func(r *observe.Result) float64 { return r.GoodputFraction }),
	numberRow("goodput_of_capacity", func(r *observe.Result) float64 { return r.GoodputOfCapacity }),
	numberRow("wasted_prefill_fraction", func(r *observe.Result) float64 { return r.WastedPrefill }),
	numberRow("worst_account_fraction", func(r *observe.Result) float64 { return r.WorstAccount }),
	countRow("wrongful_refusals", func(r *observe.Result) int { return r.WrongfulRefusals }),
	numberRow("ttft_p95_seconds", func(r *observe.Result) float64 { return r.TTFTP95 }),
	numberRow("itl_p95_seconds", func(r *observe.Result) float64 { return r.ITLP95 }),
	numberRow("ticket_in_force_max_seconds", func(r *observe.Result) float64 { return r.TicketInForceSeconds }),
	numberRow("excess_tokens", func(r *observe.Result) float64 { return r.ExcessTokens }),
	countRow("duplicate_answers", func(r *observe.Result) int { return r.DuplicateAnswers }),
	countRow("incomplete_answers", func(r *observe.Result) int { return r.IncompleteAnswers }),
	countRow("cut_requests", func(r *observe.Result) int { return r.CutRequests }),
	countRow("false_not_run", func(r *observe.Result) int { return r.FalseNotRun }),
	countRow("operations_run_twice", func(r *observe.Result) int { return r.OperationsRunTwice }),
	countRow("key_leaks", func(r *observe.Result) int { return r.KeyLeaks }),
	countRow("held_after_drain", func(r *observe.Result) int { return r.HeldAfterDrain }),
	countRow("late_new_work", func(r *observe.Result) int { return r.LateNewWork }),
	countRow("withdrawn_key_served", func(r *observe.Result) int { return r.WithdrawnKeyServed }),
	countRow("tickets_reverted", func(r *observe.Result) int { return r.TicketsReverted }),
	countRow("engine_full_refusals", func(r *observe.Result) int { return r.EngineFull }),
}
