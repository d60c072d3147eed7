package main

// smallConfig is the configuration of a small deployment: one service of engines with a route whose streams may be
// resumed, and one plain service.
const smallConfig = `{"version":7,"routes":[
 {"name":"r-note","host":"ficu95.example","prefix":"/note/","route_kind":"streaming","timeout_ms":15000,"target_latency_ms":1200,"priority":0,"service":"drafter","max_attempts":2,"anonymous":false,"session_affinity":true,"stream_resumption":true,"gap_target_ms":300},
 {"name":"r-ticket","host":"ficu95.example","prefix":"/ticket/","route_kind":"non_idempotent","timeout_ms":4000,"target_latency_ms":400,"priority":1,"service":"ticketdesk","max_attempts":1,"anonymous":false},
 {"name":"r-look","host":"ficu95.example","prefix":"/look/","route_kind":"idempotent","timeout_ms":4000,"target_latency_ms":400,"priority":1,"service":"ticketdesk","max_attempts":2,"anonymous":false}],
"services":[
 {"name":"drafter","health_check_path":"/healthz","connection_limit":360,"protocol":"h1","tls_enabled":false,"inference_engine":{"concurrency_slots":6,"kv_cache_tokens":638852,"kv_token_bytes":35136,"link_mbps":740000.0,"migrations":true,"backups":true,"step_size":2,"most":12,"pin_duration_ms":4000.0,"hold_duration_ms":2000.0,"session_ttl_s":5.0,"models":[{"name":"m"}]}},
 {"name":"ticketdesk","health_check_path":"/healthz","connection_limit":100,"protocol":"h1","tls_enabled":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["i9n73hh2b9wu3fexd9dn"],"priority":1,"billing_unit":"tokens","uncached_tokens":200,"rate_per_s":91038,"burst_size":91038}]}`

// drafter returns an engine of the small deployment.
func drafter(id, zone, version string) replicaSpec {
	return replicaSpec{ID: id, Service: "drafter", Zone: zone, Version: version, Engine: true, Slots: 6, Queue: 36, EventPause: eventPause}
}
