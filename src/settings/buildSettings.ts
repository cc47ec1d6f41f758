import { resolve } from 'node:path'
import type { Secrets } from './Secrets.js'
import type { LimitSettings, PeerSettings, Settings, TimingSettings } from './Settings.js'
import type { SettingsFile } from './settingsSchema.js'

/**
 * Converts a checked settings file to the settings of the daemon.
 *
 * @param file - checked content of the file
 * @param baseFolder - folder that relative paths are resolved against
 * @param secrets - content of the secret files
 */
export function buildSettings (file: SettingsFile, baseFolder: string, secrets: Secrets): Settings {
  const dataFolder = file.host['data-folder']
  return {
    host: {
      name: file.host.name,
      domain: file.host['failure-domain'],
      region: file.host.region,
      peerAddress: file.host['peer-address'],
      guestAddress: file.host['guest-address']
    },
    operatorAddress: file.host['operator-address'],
    dataFolder: dataFolder === undefined ? undefined : resolve(baseFolder, dataFolder),
    peers: Object.entries(file.peer).map(([name, section]) => buildPeer(name, section)),
    peerKey: secrets.peerKey,
    operatorTokens: secrets.operatorTokens,
    metricsAddress: file.metrics['statsd-address'],
    limits: buildLimits(file.limits),
    timings: buildTimings(file.timings)
  }
}

function buildPeer (name: string, section: SettingsFile['peer'][string]): PeerSettings {
  return {
    name,
    domain: section['failure-domain'],
    region: section.region,
    peerAddress: section['peer-address'],
    guestAddress: section['guest-address'],
    replica: section.replica,
    dialAddress: section['dial-address'] ?? section['peer-address']
  }
}

function buildLimits (limits: SettingsFile['limits']): LimitSettings {
  return {
    requestBodyBytes: limits['request-body-bytes'],
    headerBytes: limits['header-bytes'],
    answerBufferBytes: limits['answer-buffer-bytes'],
    sheetBytes: limits['sheet-bytes'],
    queueLength: limits['queue-length'],
    retryPercent: limits['retry-percent'],
    maximumHostClockDifferenceMilliseconds: limits['maximum-host-clock-difference-milliseconds']
  }
}

function buildTimings (timings: SettingsFile['timings']): TimingSettings {
  return {
    defaultDeadlineMilliseconds: timings['default-deadline-milliseconds'],
    maximumDeadlineMilliseconds: timings['maximum-deadline-milliseconds'],
    announcementMilliseconds: timings['announcement-milliseconds'],
    leaseMilliseconds: timings['lease-milliseconds'],
    lookupLifetimeSeconds: timings['lookup-lifetime-seconds'],
    stopDeadlineMilliseconds: timings['stop-deadline-milliseconds']
  }
}
