// Package entry assembles the daemon of an entry instance: the HTTP server for callers, the
// filter chain and the controllers.
package entry

import "time"

// Settings are the static settings of an entry instance.
type Settings struct {
	Instance InstanceSettings `ini:"instance"`
	Listen   ListenSettings   `ini:"listen"`
	Platform PlatformSettings `ini:"platform"`
	Requests RequestSettings  `ini:"requests"`
	Peers    PeerSettings     `ini:"peers"`
	Operator OperatorSettings `ini:"operator"`
	Log      LogSettings      `ini:"log"`
}

// InstanceSettings identify the instance and its data centre.
type InstanceSettings struct {
	Name        string   `ini:"name" doc:"name of the instance, unique in the fleet, without dots"`
	DataCentre  string   `ini:"data_centre" doc:"data centre of the instance"`
	DataCentres []string `ini:"data_centres" doc:"all data centres of the fleet"`
}

// ListenSettings hold the listen addresses and the limits of caller connections.
type ListenSettings struct {
	Callers      string        `ini:"callers" doc:"address for callers, IP:port"`
	Peers        string        `ini:"peers" doc:"address for other instances, IP:port"`
	Operator     string        `ini:"operator" doc:"address for operators, IP:port"`
	Connections  int           `ini:"connections" default:"10000" min:"1" doc:"maximum number of open caller connections"`
	ReadTimeout  time.Duration `ini:"read_timeout" default:"10s" min:"100ms" max:"10m" doc:"longest time to read one request, including headers"`
	IdleTimeout  time.Duration `ini:"idle_timeout" default:"60s" min:"1s" max:"1h" doc:"longest time between requests on a connection"`
	WriteTimeout time.Duration `ini:"write_timeout" default:"10s" min:"100ms" max:"10m" doc:"longest time for each write to a caller"`
}

// PlatformSettings hold the address of the platform's services.
type PlatformSettings struct {
	Addr string `ini:"addr" doc:"address of the platform's services, IP:port"`
}

// RequestSettings hold the limits and timeouts of requests.
type RequestSettings struct {
	MaxBody      int           `ini:"max_body_bytes" default:"4194304" min:"1024" max:"67108864" doc:"largest request body, bytes"`
	MaxOutput    int           `ini:"max_output_tokens" default:"32768" min:"1" doc:"largest max_tokens of a request"`
	MaxAttempts  int           `ini:"max_attempts" default:"3" min:"1" max:"10" doc:"maximum number of attempts per request, including the first"`
	RetryBudget  float64       `ini:"retry_budget" default:"0.1" min:"0" max:"1" doc:"retries as a fraction of requests"`
	EndpointIdle time.Duration `ini:"endpoint_idle_timeout" default:"3s" min:"100ms" max:"10m" doc:"time without data from an engine after which its connection is closed"`
	ServiceIdle  time.Duration `ini:"service_idle_timeout" default:"10s" min:"100ms" max:"1h" doc:"time without data from a plain service after which its connection is closed"`
	LeaveGrace   time.Duration `ini:"leave_grace" default:"3s" min:"0s" max:"5m" doc:"time for which new requests are still served after the instance has left the platform's list, which is updated with a delay"`
	Drain        time.Duration `ini:"drain_timeout" default:"0s" min:"0s" max:"24h" doc:"longest wait for running requests at shutdown; 0s means the longest route deadline"`
	OperationTTL time.Duration `ini:"operation_retention" default:"24h" min:"1m" max:"720h" doc:"how long recorded operations are kept"`
}

// PeerSettings configure the connections between instances.
type PeerSettings struct {
	Seeds []string `ini:"seeds" default:"" doc:"addresses of peers in the data centre to contact while no peer is known, IP:port, comma separated"`
	Plain bool     `ini:"plain" default:"false" doc:"disables TLS between instances; loopback addresses only"`
	Cert  string   `ini:"cert" default:"" doc:"PEM file of the instance's certificate"`
	Key   string   `ini:"key" default:"" doc:"PEM file of the certificate's private key"`
	CA    string   `ini:"ca" default:"" doc:"PEM file of the fleet's certificate authority"`
}

// OperatorSettings control access to the operator port.
type OperatorSettings struct {
	TokenHashes []string `ini:"token_sha256" default:"" doc:"SHA-256 (hex) of each operator token, comma separated"`
}

// LogSettings configure the log and the event ring.
type LogSettings struct {
	Verbosity int `ini:"verbosity" default:"0" min:"0" max:"4" doc:"0 logs what operators need; higher values add detail"`
	Events    int `ini:"events" default:"16384" min:"64" max:"1048576" doc:"number of events kept for the timeline"`
}
