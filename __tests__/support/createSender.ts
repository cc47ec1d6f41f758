import { CrashTable } from '../../src/crashes/CrashTable.js'
import { CrashDetector, type CrashDetectorOptions } from '../../src/entry/CrashDetector.js'
import type { EntryRelayOptions } from '../../src/entry/EntryRelayOptions.js'
import { SuspectGate } from '../../src/entry/SuspectGate.js'
import { UpstreamRuns } from '../../src/entry/UpstreamRuns.js'
import { UpstreamNotices } from '../../src/entry/UpstreamNotices.js'
import { UpstreamSender, type UpstreamSenderOptions } from '../../src/entry/UpstreamSender.js'
import { SuspectDesk, type SuspectPermitRequest } from '../../src/crashes/SuspectDesk.js'
import { Counters } from '../../src/observe/Counters.js'
import { StopWindow } from '../../src/limits/StopWindow.js'
import type { CallPeer } from '../../src/transport/CallPeer.js'
import { ListenerState, probeListener } from '../../src/utils/probeListener.js'

const silentLog = { info: () => {}, warn: () => {}, error: () => {} }

/** Parts of an entry relay that send requests and hold back those that end upstreams. */
export interface SenderParts extends Pick<EntryRelayOptions, 'gate' | 'sender'> {
  runs: UpstreamRuns
  crashes: CrashTable
  detector: CrashDetector
}

/**
 * @param options - known state, loads, connections, protocol, buffer size, and what replaces connections for tests of liveness
 * @returns a sender with its gate; permits for suspects come from a desk in memory
 */
export function createSender ({ counters = new Counters(), log = silentLog, ...options }: Pick<UpstreamSenderOptions, 'known' | 'loads' | 'connections' | 'protocol' | 'answerBufferBytes'> & Partial<Pick<UpstreamSenderOptions, 'counters' | 'log'>> & Pick<CrashDetectorOptions, 'probe'>): SenderParts {
  const runs = new UpstreamRuns()
  const crashes = new CrashTable()
  const detector = new CrashDetector({ runs, crashes, known: options.known, probe: options.probe, identify: identifyByConnection(options.probe), onChange: () => {}, saveLosses: async () => {}, log: silentLog })
  const gate = new SuspectGate({ crashes, detector, listControlHosts: () => ['control'], callPeer: createPermitCalls(), log: silentLog })
  const notices = new UpstreamNotices({ hostName: 'entry-1', known: options.known, loads: options.loads, onLeaving: () => {}, counters: new Counters(), log: silentLog })
  const sender = new UpstreamSender({ ...options, notices, runs, crashes, detector, onExcuse: () => {}, stopWindow: new StopWindow(), counters, log })
  return { gate, runs, sender, crashes, detector }
}

/** @returns what takes an upstream that accepts connections for the expected one, since the upstreams of these tests answer no health requests */
function identifyByConnection (probe: CrashDetectorOptions['probe'] = (address) => probeListener(address, 400, 50)): CrashDetectorOptions['identify'] {
  return async ({ id, address }) => await probe(address) === ListenerState.Open ? id : undefined
}

/** @returns calls that a control host with a crash table of its own answers */
function createPermitCalls (): CallPeer {
  const desk = new SuspectDesk({ crashes: new CrashTable(), onChange: () => {} })
  return async <Result>(_address: string, _method: string, request: object) => desk.answer(request as SuspectPermitRequest) as Result
}
