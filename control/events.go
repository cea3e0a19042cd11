package control

import "heatherwall.example/telemetry"

// Events of control replicas; docs/events.md lists them.
var (
	eventStarted = telemetry.Define(1001, "replica_started", telemetry.Info,
		"The replica opened its data folder and listens.")
	eventStopped = telemetry.Define(1002, "replica_stopped", telemetry.Info,
		"The replica transferred its leaderships and closed its logs.")
	eventGroupBootstrapped = telemetry.Define(1003, "group_bootstrapped", telemetry.Info,
		"The replica created the configuration group; the numbers of its voters and of those that hold the first membership are in the fields.")
	eventBootstrapAccepted = telemetry.Define(1006, "bootstrap_accepted", telemetry.Info,
		"The replica is an initial voter of a new configuration group and holds its first membership.")
	eventJoining = telemetry.Define(1004, "replica_joining", telemetry.Info,
		"The replica asks a group to add its identity.")
	eventLeadershipGained = telemetry.Define(1010, "leadership_gained", telemetry.Info,
		"The replica has become leader of the group.")
	eventLeadershipLost = telemetry.Define(1011, "leadership_lost", telemetry.Warn,
		"The replica no longer leads the group; the outcome of its pending proposals is unknown.")
	eventMembershipChangeProposed = telemetry.Define(1012, "membership_change_proposed", telemetry.Info,
		"The leader proposed to add, promote or remove a replica.")
	eventVoterDataLost = telemetry.Define(1015, "voter_data_lost", telemetry.Warn,
		"A group has no leader, and the process at the address of one of its voters has another identity: the voter's data is gone.")
	eventNoLeader = telemetry.Define(1016, "no_leader", telemetry.Warn,
		"A group has had no leader for longer than an election takes; its voters and those that are known to have lost their data are in the fields.")
	eventJoinOutdated = telemetry.Define(1017, "join_outdated", telemetry.Warn,
		"A request to join was refused, because the process at its address does not confirm the identity that is to join.")
	eventClaimGroupOpened = telemetry.Define(1013, "claim_group_opened", telemetry.Info,
		"The replica opened its log of a claim group.")
	eventSnapshotSaved = telemetry.Define(1014, "snapshot_saved", telemetry.Info,
		"The state of a group was saved and its log compacted.")
	eventStorageFailed = telemetry.Define(1020, "storage_failed", telemetry.Error,
		"A write or sync in the data folder failed; the replica stops because the state on disk is not known.")
	eventPeerConnectionClosed = telemetry.Define(1030, "peer_connection_closed", telemetry.Warn,
		"The connection to another replica failed, or a message on it was not acknowledged in time; the connection is opened again.")
	eventPeerRefused = telemetry.Define(1031, "peer_refused", telemetry.Warn,
		"A call was refused because the certificate of the caller does not name a configured control replica.")
	eventChangeDecided = telemetry.Define(1040, "change_decided", telemetry.Info,
		"A change of the document was decided; the outcome is in the fields.")
	eventSettingsReloaded = telemetry.Define(1005, "settings_reloaded", telemetry.Info,
		"The settings file has changed; the addresses of other control replicas to contact are in the fields.")
	eventListenerFailed = telemetry.Define(1021, "listener_failed", telemetry.Error,
		"A listener failed and accepts no more requests.")
	eventRoutesPut = telemetry.Define(1050, "routes_put", telemetry.Info,
		"An operator put a route table; without an error, a quorum holds it or a higher version.")
	eventDomainSet = telemetry.Define(1051, "domain_set", telemetry.Info,
		"An operator took a failure domain out of service or back in.")
	eventServerReported = telemetry.Define(1052, "server_reported", telemetry.Info,
		"A report of a backend server changes its record; the change was proposed.")
	eventServerLeft = telemetry.Define(1053, "server_left", telemetry.Info,
		"A backend server announced that it is shutting down.")
	eventServerLost = telemetry.Define(1054, "server_lost", telemetry.Warn,
		"A backend server sent no reports for several intervals; its removal was proposed.")
	eventReportOutdated = telemetry.Define(1055, "report_outdated", telemetry.Info,
		"A report of a backend server is older than a known one and was ignored.")
	eventRouteStepBegun = telemetry.Define(1057, "route_step_begun", telemetry.Info,
		"A replica begins to send a newer route table to a gateway, or continues to; versions and size are in the fields.")
	eventPushFailed = telemetry.Define(1058, "push_failed", telemetry.Info,
		"Changes could not be sent to a gateway, in most cases because its session has ended; its next renewal opens a new one.")
	eventPoisonReportLost = telemetry.Define(1056, "poison_report_lost", telemetry.Warn,
		"Crash counts of requests may not have been recorded; gateways continue to count.")
	eventEntrySkipped = telemetry.Define(1059, "entry_skipped", telemetry.Error,
		"A committed entry of a log cannot be read and was skipped; every replica skips it.")
	eventQuotaSlotsAssigned = telemetry.Define(1061, "quota_slots_assigned", telemetry.Info,
		"Slots of workspaces were given to other replicas, because their owner was lost, or was released by a planned stop.")
	eventQuotaSlotsBegun = telemetry.Define(1062, "quota_slots_begun", telemetry.Info,
		"This replica gives the tokens of the workspaces in its slots; with an error it tries again.")
	eventConfirmationRefused = telemetry.Define(1041, "confirmation_refused", telemetry.Warn,
		"A renewal or read was refused because no quorum confirmed that the state is current.")
)
