// Package httpplatform provides the platform services over a JSON API: a fasthttp handler
// that serves a store, and a client that implements the interfaces of package platform.
// docs/platform-interface.md describes the API.
package httpplatform

import "carawayrouter.example/router/internal/platform"

// Paths of the API.
const (
	pathGet        = "/table/get"
	pathScan       = "/table/scan"
	pathCommit     = "/table/commit"
	pathObjects    = "/objects/" // followed by the escaped name
	pathObjectList = "/objects"  // query: prefix=
	pathInstances  = "/instances"
	pathLeave      = "/instances/leave"
	pathFault      = "/admin/fault"
	pathCounts     = "/admin/counts"
	pathRegister   = "/admin/instances/" // followed by the escaped name
)

// headerDataCentre identifies the data centre of the client.
const headerDataCentre = "Caraway-Data-Centre"

// Error codes in responses with a status other than 200.
const (
	codeUnavailable    = "unavailable"
	codeUnknownOutcome = "unknown_outcome"
	codeConflict       = "conflict"
	codeNotFound       = "not_found"
	codeBadRequest     = "bad_request"
)

type rowJSON struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

type conditionJSON struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

type writeJSON struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

type getRequest struct {
	Keys []string `json:"keys"`
}

type scanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

type rowsResponse struct {
	Rows []rowJSON `json:"rows"`
}

type commitRequest struct {
	Conditions []conditionJSON `json:"conditions"`
	Writes     []writeJSON     `json:"writes"`
}

type commitResponse struct {
	Version uint64 `json:"version"`
}

type namesResponse struct {
	Names []string `json:"names"`
}

type instancesResponse struct {
	Instances []platform.Instance `json:"instances"`
}

type leaveRequest struct {
	Name string `json:"name"`
}

// errorResponse is the body of every response with a status other than 200.
type errorResponse struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Key     string `json:"key,omitempty"`  // key of the row in conflict
	Want    uint64 `json:"want,omitempty"` // version required by the condition
	Have    uint64 `json:"have,omitempty"` // current version of the row
}

// Fault sets the injected faults of the stand-in platform. Faults whose field is absent
// remain unchanged.
type Fault struct {
	Down         *bool           `json:"down,omitempty"`
	ListDown     *bool           `json:"list_down,omitempty"`
	Slow         *string         `json:"slow,omitempty"` // duration; "0s" ends the fault
	LoseAnswers  *float64        `json:"lose_answers,omitempty"`
	LoseRequests *float64        `json:"lose_requests,omitempty"`
	ListLag      *string         `json:"list_lag,omitempty"`
	Cut          map[string]bool `json:"cut,omitempty"` // by data centre; true disconnects it
}

func rowsToJSON(rows []platform.Row) []rowJSON {
	out := make([]rowJSON, len(rows))
	for i, r := range rows {
		out[i] = rowJSON(r)
	}
	return out
}

func rowsFromJSON(rows []rowJSON) []platform.Row {
	out := make([]platform.Row, len(rows))
	for i, r := range rows {
		out[i] = platform.Row(r)
	}
	return out
}

func txnToJSON(t platform.Txn) commitRequest {
	var req commitRequest
	for _, c := range t.Conditions {
		req.Conditions = append(req.Conditions, conditionJSON(c))
	}
	for _, w := range t.Writes {
		req.Writes = append(req.Writes, writeJSON(w))
	}
	return req
}

func txnFromJSON(req commitRequest) platform.Txn {
	var t platform.Txn
	for _, c := range req.Conditions {
		t.Conditions = append(t.Conditions, platform.Condition(c))
	}
	for _, w := range req.Writes {
		t.Writes = append(t.Writes, platform.Write(w))
	}
	return t
}
