/**
 * hibiscusrelay: the coordination parts of a global traffic steering system.
 * This file is the library's whole interface; nothing else is exported, and the daemon uses nothing else.
 *
 * @packageDocumentation
 */

// Replicated log, and the accepted sheets on it.
export { MemberRole } from './agreement/MemberRole.js'
export type { ReconfigureAnswer } from './agreement/messages/ReconfigureAnswer.js'
export type { ProposalAnswer } from './agreement/ProposalAnswer.js'
export { ProposalOutcome } from './agreement/ProposalOutcome.js'
export type { ReplicaConfiguration } from './agreement/ReplicaConfiguration.js'
export { ReplicaRefusalReason } from './agreement/ReplicaRefusalReason.js'
export { ReplicaRole } from './agreement/ReplicaRole.js'
export { ReplicatedLog } from './agreement/ReplicatedLog.js'
export { defaultReplicaLimits, type ReplicaLimits } from './agreement/ReplicaLimits.js'
export type { ReplicaMember } from './agreement/ReplicaMember.js'
export type { ReplicaOptions } from './agreement/ReplicaOptions.js'
export type { ReplicaStatus } from './agreement/ReplicaStatus.js'
export { defaultReplicaTimings, type ReplicaTimings } from './agreement/ReplicaTimings.js'
export type { AcceptedSheet } from './agreement/sheets/AcceptedSheet.js'
export { createSheetReplica, type SheetReplica, type SheetReplicaOptions } from './agreement/sheets/createSheetReplica.js'
export { digestOf } from './agreement/sheets/digestOf.js'
export { proposeToReplicas } from './agreement/sheets/proposeToReplicas.js'
export { recoverSheets, type RecoverSheetsOptions } from './agreement/sheets/recoverSheets.js'
export type { SheetInForce } from './agreement/sheets/SheetInForce.js'
export { defaultSheetLimits, type SheetLimits } from './agreement/sheets/SheetLimits.js'
export { SheetRegistry, type SheetListener } from './agreement/sheets/SheetRegistry.js'
export type { SheetSubmission } from './agreement/sheets/SheetSubmission.js'
export { SheetSubmitter, type SheetSubmitterOptions } from './agreement/sheets/SheetSubmitter.js'
export type { SubmitAnswer } from './agreement/sheets/SubmitAnswer.js'
export { SubmitResult } from './agreement/sheets/SubmitResult.js'
export { SheetSpreader } from './agreement/spread/SheetSpreader.js'
export type { SpreaderOptions } from './agreement/spread/SpreaderOptions.js'
export { defaultSpreaderTimings, type SpreaderTimings } from './agreement/spread/SpreaderTimings.js'
export type { SpreadPeer } from './agreement/spread/SpreadPeer.js'
export { diskFiles } from './agreement/storage/diskFiles.js'
export type { FileOperations } from './agreement/storage/FileOperations.js'
export type { OpenFile } from './agreement/storage/OpenFile.js'

// Membership: who is alive, by probes and gossip.
export { LossSignals } from './membership/LossSignals.js'
export { GossipMembership } from './membership/GossipMembership.js'
export type { Membership } from './membership/Membership.js'
export type { MembershipSettings } from './membership/MembershipSettings.js'
export { DEFAULT_MEMBERSHIP_TIMINGS, type MembershipTimings } from './membership/MembershipTimings.js'
export { rankByRendezvous } from './utils/rankByRendezvous.js'

// Claims of one-time actions, so that each runs at most once.
export { chooseLedgerHosts } from './ledger/chooseLedgerHosts.js'
export { ClaimResult, type ClaimAnswer, type ClaimLedger, type StoredAnswer } from './ledger/ClaimLedger.js'
export { EpochState, type Epoch, type MemberIncarnation } from './ledger/Epoch.js'
export { DEFAULT_LEDGER_LIMITS, type LedgerLimits } from './ledger/LedgerLimits.js'
export { LedgerMember, type LedgerMemberOptions } from './ledger/LedgerMember.js'
export type { EpochStatus, MemberStatus } from './ledger/LedgerMessages.js'
export { DEFAULT_LEDGER_TIMINGS, type LedgerTimings } from './ledger/LedgerTimings.js'
export { QuorumLedger, type QuorumLedgerOptions } from './ledger/QuorumLedger.js'
export type { SignText } from './ledger/Ticket.js'
export type { TicketIssuerOptions } from './ledger/TicketIssuer.js'

// Budgets shared by leases: place caps and link budgets.
export type { Budget } from './limits/Budget.js'
export { BudgetLeases } from './limits/BudgetLeases.js'
export type { LeaseScope } from './limits/LeaseScope.js'
export type { LeaseSettings } from './limits/LeaseSettings.js'
export { DEFAULT_LEASE_TIMINGS, type LeaseTimings } from './limits/LeaseTimings.js'
export { LinkBudgets } from './limits/LinkBudgets.js'
export type { CapUse, LinkUse } from './limits/BudgetUse.js'
export { makeHostScopes } from './limits/makeHostScopes.js'
export { makeDomainScope, makeRegionScope } from './limits/makeLeaseScopes.js'
export { PlaceCaps } from './limits/PlaceCaps.js'
export { RampFollower } from './limits/RampFollower.js'

// Relay of requests: announcements, pools of slots, owners, retries, crash blame.
export { UpstreamState, type Announcement, type AnnouncementAnswer } from './relay/Announcement.js'
export { AnnouncementHandler, type AnnouncementHandlerOptions } from './relay/AnnouncementHandler.js'
export { CrashReporter, type CrashReporterOptions } from './relay/CrashReporter.js'
export { forwardToOwner, type OwnerConnection } from './relay/forwardToOwner.js'
export { Ingress, type IngressOptions } from './relay/Ingress.js'
export { Owner, type OwnerOptions } from './relay/Owner.js'
export type { ChoiceContext, ChooseOwner, OwnerChoice } from './relay/OwnerChoice.js'
export { PeerConnections } from './relay/PeerConnections.js'
export { PoisonGuard, type PoisonRecord } from './relay/PoisonGuard.js'
export { PoolRegistry, type PoolRegistryOptions } from './relay/PoolRegistry.js'
export type { RelayAnswer } from './relay/RelayAnswer.js'
export type { HeaderField, RelayedRequest } from './relay/RelayedRequest.js'
export { RetryBudget } from './relay/RetryBudget.js'
export type { Upstream } from './relay/Upstream.js'
export type { ServiceCap } from './relay/ServiceCap.js'
export { serveForwarded } from './relay/serveForwarded.js'
export { SuspectRuns, type SuspectRunsOptions } from './relay/SuspectRuns.js'

// Choice of entry hosts and of owners.
export type { ChoiceExplanation, ExplainedPool } from './steering/ChoiceExplanation.js'
export { choosePool, type PoolChoice } from './steering/choosePool.js'
export { EntryHostOrder } from './steering/EntryHostOrder.js'
export type { EntryHostQuery } from './steering/EntryHostQuery.js'
export type { RampSettings } from './steering/GroupRamp.js'
export { listPoolCandidates } from './steering/listPoolCandidates.js'
export { orderEntryHosts, type EntryHostList } from './steering/orderEntryHosts.js'
export { OwnerChooser, type OwnerChooserOptions } from './steering/OwnerChooser.js'
export type { PlaceShare } from './steering/PlaceShare.js'
export type { PoolCandidate } from './steering/PoolCandidate.js'
export type { PoolEstimates } from './steering/PoolEstimates.js'
export type { AnswerReport, PoolReport } from './steering/PoolReport.js'
export { PoolView } from './steering/PoolView.js'
export { DEFAULT_POOL_VIEW_SETTINGS, type PoolViewSettings } from './steering/PoolViewSettings.js'
export { ShareRamp } from './steering/ShareRamp.js'
export { Tier, tierOf, type DomainLocation } from './steering/Tier.js'

// Reading and comparing sheets.
export type { CheckedSheet } from './sheet/CheckedSheet.js'
export { diffSheets } from './sheet/diffSheets.js'
export { findLink } from './sheet/findLink.js'
export { formatSheetChange } from './sheet/formatSheetChange.js'
export { formatSheetFault } from './sheet/formatSheetFault.js'
export { parseSheet } from './sheet/parseSheet.js'
export { SheetChangeKind, type SheetChange } from './sheet/SheetChange.js'
export type { SheetCheck } from './sheet/SheetCheck.js'
export type { SheetFault } from './sheet/SheetFault.js'
export { ANY_GUEST_PLACE } from './sheet/sheetLimits.js'
export { SheetProblem } from './sheet/SheetProblem.js'
export { SheetRecord } from './sheet/SheetRecord.js'

// The guests' and upstreams' HTTP interface.
export { GuestInterface, type GuestInterfaceOptions } from './guest/GuestInterface.js'
export type { LookupAnswer, LookupHost, LookupQuestion } from './guest/LookupAnswer.js'

// The operators' HTTP interface.
export { OperatorInterface, type OperatorAnswer, type OperatorInterfaceOptions, type OperatorRequest, type OperatorRoute } from './operator/OperatorInterface.js'

// Calls between hosts, and listeners.
export type { CallPeer } from './transport/CallPeer.js'
export { HttpListener, type HttpListenerOptions } from './transport/HttpListener.js'
export { PeerClient } from './transport/PeerClient.js'
export type { PeerHandler, RegisterPeerHandler } from './transport/PeerHandler.js'
export { PeerServer, type RelayHandler } from './transport/PeerServer.js'
export { PeerSignature, type SignedParts } from './transport/PeerSignature.js'

// Settings of a host.
export { loadSettings } from './settings/loadSettings.js'
export type { LimitSettings, PeerSettings, Settings, TimingSettings } from './settings/Settings.js'

// Logs, counters and metrics.
export { Counters, type MetricSink } from './observe/Counters.js'
export { createLog } from './observe/createLog.js'
export { createMetricSink, type ClosableMetricSink } from './observe/createMetricSink.js'
export { declareCounters, outcomeCounter, refusalCounter, retryCounter } from './observe/declareCounters.js'
export type { Log, LogFields } from './observe/Log.js'

// Errors; each carries the step and the peer at which it arose.
export { HibiscusrelayError, type ErrorPlace } from './errors/HibiscusrelayError.js'
export { PeerCallError } from './errors/PeerCallError.js'
export { ReplicaRefusedError } from './errors/ReplicaRefusedError.js'
export { ReplicaStorageError } from './errors/ReplicaStorageError.js'
export { SettingsError, type SettingsFault } from './errors/SettingsError.js'

// Shared types.
export type { HostDetails } from './types/HostDetails.js'
export type { HostIdentity } from './types/HostIdentity.js'
export type { Member } from './types/Member.js'
export { MemberState } from './types/MemberState.js'
export { Outcome } from './types/Outcome.js'
export { PeerMethod } from './types/PeerMethod.js'
export { PlaceState } from './types/PlaceState.js'
export type { PoolSummary } from './types/PoolSummary.js'
export { RefusalReason } from './types/RefusalReason.js'
export { RequestClass } from './types/RequestClass.js'
export { RetryReason } from './types/RetryReason.js'
export type { CapEntry, GuestBlockTable, LinkEntry, PlaceEntry, PlacementEntry, ServiceEntry, Sheet } from './types/Sheet.js'
export { Step } from './types/Step.js'
