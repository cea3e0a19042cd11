package gateway

import "heatherwall.example/telemetry"

// Events of a gateway.
var (
	eventStarted         = telemetry.Define(2000, "gateway_started", telemetry.Info, "The gateway listens; addresses are in the fields.")
	eventStopped         = telemetry.Define(2001, "gateway_stopped", telemetry.Info, "The gateway has finished its requests and closed its listeners.")
	eventDraining        = telemetry.Define(2002, "gateway_draining", telemetry.Info, "The gateway was told to stop; /readyz fails from now on.")
	eventDrainTimeout    = telemetry.Define(2003, "gateway_drain_timeout", telemetry.Warn, "Requests were still in flight when drain_seconds ran out; their connections were closed.")
	eventLeaseGained     = telemetry.Define(2010, "lease_gained", telemetry.Info, "A control replica confirmed the configuration after a time without a lease.")
	eventLeaseLost       = telemetry.Define(2011, "lease_lost", telemetry.Error, "The configuration lease ran out; requests are refused with configuration_stale.")
	eventReplicaChanged  = telemetry.Define(2012, "replica_changed", telemetry.Warn, "A control replica was silent or broke the stream; the next one is asked.")
	eventRevisionInUse   = telemetry.Define(2013, "revision_in_use", telemetry.Info, "A new revision of the configuration is in use.")
	eventRevisionRefused = telemetry.Define(2014, "revision_refused", telemetry.Error, "A confirmed revision could not be compiled, or was older than one seen before; it is not used.")
	eventClusterRefused  = telemetry.Define(2015, "cluster_refused", telemetry.Error, "A control replica of another setup answered; its answer is not used.")
	eventJoined          = telemetry.Define(2016, "gateway_joined", telemetry.Info, "The gateway has introduced itself to the other gateways and takes requests from now on.")
	eventServerAnnounced = telemetry.Define(2020, "server_announced", telemetry.Info, "A backend server announced itself to this gateway.")
	eventServerLeft      = telemetry.Define(2021, "server_left", telemetry.Info, "A backend server said that it leaves.")
	eventAnnounceRefused = telemetry.Define(2022, "announce_refused", telemetry.Warn, "A request to the announce endpoint was refused.")
	eventServerEjected   = telemetry.Define(2023, "server_ejected", telemetry.Warn, "A backend server hangs and receives no more requests for a while.")
	eventServerReturned  = telemetry.Define(2024, "server_returned", telemetry.Info, "An ejected backend server receives requests again.")
	eventServerFellBack  = telemetry.Define(2025, "server_fell_back", telemetry.Warn, "A backend server behaves as in cold start without having announced it.")
	eventDomainsOut      = telemetry.Define(2017, "domains_out", telemetry.Info, "The failure domains that operators took out have changed.")
	eventRoutesInUse     = telemetry.Define(2018, "routes_in_use", telemetry.Info, "A new version of the route table is in use.")
	eventBackendChanged  = telemetry.Define(2026, "backend_changed", telemetry.Info, "The catalogue has a new record of a backend server.")
	eventBackendGone     = telemetry.Define(2027, "backend_gone", telemetry.Info, "A backend server is no longer in the catalogue and gets no more requests.")
	eventReloaded        = telemetry.Define(2004, "settings_reloaded", telemetry.Info, "The settings file has changed; the addresses of control replicas are in the fields.")
	eventGossipFailed    = telemetry.Define(2030, "gossip_failed", telemetry.Debug, "An exchange with another gateway failed.")
	eventClaimFailed     = telemetry.Define(2040, "claim_failed", telemetry.Warn, "No answer to a claim; the request was refused.")
	eventCompleteFailed  = telemetry.Define(2041, "complete_failed", telemetry.Warn, "The outcome of a claimed request could not be recorded; the claim stays open.")
	eventPoisonMarked    = telemetry.Define(2050, "poison_marked", telemetry.Warn, "A request was in flight on two connections that broke; it is refused for 60 s.")
	eventAnswerAborted   = telemetry.Define(2060, "answer_aborted", telemetry.Warn, "A backend server's answer ended early; the caller's connection was aborted.")
)
