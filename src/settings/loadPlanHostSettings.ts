import { readFileSync } from 'node:fs'
import { parse } from 'ini'
import { z } from 'zod'
import { SettingsError, type SettingsFault } from '../errors/SettingsError.js'
import { DEFAULT_QUOTA_BOUNDS } from '../quota/QuotaBounds.js'
import { splitAddress } from '../utils/splitAddress.js'
import { createSettingsFault } from './createSettingsFault.js'
import type { PlanHostSettings } from './PlanHostSettings.js'

const NAME = z.string().min(1, 'allowed: a name')
const ADDRESS = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'allowed: an IP address and a port, for example 127.0.0.1:7100')
const OPTIONAL_ADDRESS = z.union([z.literal('').transform(() => undefined), ADDRESS]).optional()
const PORT = z.string().regex(/^\d{1,5}$/, 'allowed: a port number').transform(Number)
const ADDRESSES = z.string().transform((text) => text.split(',').map((part) => part.trim()).filter((part) => part !== ''))
  .pipe(z.array(ADDRESS).min(1, 'allowed: one or more addresses, separated by commas'))
const TRUE_OR_FALSE = z.union([z.boolean(), z.enum(['true', 'false'])], 'allowed: true or false').transform((value) => value === true || value === 'true')

const OPTIONAL_TRUE_OR_FALSE = z.union([z.literal('').transform(() => false), TRUE_OR_FALSE]).default(false)
const OPTIONAL_NUMBER = z.string().regex(/^(\d+(\.\d+)?)?$/, 'allowed: a number').transform((text) => text === '' ? undefined : Number(text)).optional()

const OPTIONAL_COUNT = z.string().regex(/^\d{0,4}$/, 'allowed: a whole number').transform((text) => text === '' ? undefined : Number(text)).optional()

const OPTIONAL_FRACTION = z.string().regex(/^(0(\.\d+)?|1(\.0+)?)?$/, 'allowed: a number from 0 to 1').transform(Number).default(0)

const DEFAULT_REVOCATION_SECONDS = 5

function createNumberSchema (defaultValue: number) {
  return z.string().regex(/^\d+(\.\d+)?$/, 'allowed: a number').transform(Number).default(defaultValue)
}

const planHostSettingsSchema = z.object({
  host: z.object({ name: NAME, 'failure-domain': NAME, region: NAME, 'data-folder': z.string().optional() }),
  listen: z.object({
    'peer-address': ADDRESS,
    'guest-address': OPTIONAL_ADDRESS,
    'readiness-address': OPTIONAL_ADDRESS,
    'control-address': OPTIONAL_ADDRESS,
    'directory-address': OPTIONAL_ADDRESS,
    'metrics-address': OPTIONAL_ADDRESS
  }),
  control: z.object({ 'seed-addresses': ADDRESSES, 'peer-port': PORT, 'first-start': TRUE_OR_FALSE.default(false), 'tolerated-losses': OPTIONAL_COUNT, 'announcement-seconds': createNumberSchema(1.5) }),
  limits: z.object({
    'stop-seconds': createNumberSchema(6),
    'retry-ratio': createNumberSchema(0.2),
    'retry-allowance': createNumberSchema(10),
    'retry-window-seconds': createNumberSchema(10),
    'second-attempt-ratio': OPTIONAL_FRACTION,
    'strict-revocation': OPTIONAL_TRUE_OR_FALSE,
    'revocation-seconds': OPTIONAL_NUMBER,
    'quota-window-seconds': OPTIONAL_NUMBER,
    'quota-overage': OPTIONAL_NUMBER,
    'quota-allowance': OPTIONAL_NUMBER
  }).prefault({}),
  regions: z.record(z.string(), z.string()).default({})
})

/**
 * Reads and checks the settings of a host that follows a routing plan.
 *
 * @param file - path of the settings file
 * @returns the checked settings, with the seed addresses converted to peer addresses
 * @throws {@link SettingsError} with all faults of the file
 */
export function loadPlanHostSettings (file: string): PlanHostSettings {
  const checked = planHostSettingsSchema.safeParse(parse(readText(file)))
  if (!checked.success) throw new SettingsError(file, checked.error.issues.map((issue) => createSettingsFault(file, issue.path, issue.message)))
  const { host, listen, control, limits, regions } = checked.data
  return {
    name: host.name,
    domain: host['failure-domain'],
    region: host.region,
    dataFolder: host['data-folder'] === '' ? undefined : host['data-folder'],
    peerAddress: listen['peer-address'],
    guestAddress: listen['guest-address'],
    readinessAddress: listen['readiness-address'],
    controlAddress: listen['control-address'],
    directoryAddress: listen['directory-address'],
    metricsAddress: listen['metrics-address'],
    seeds: control['seed-addresses'].map((address) => `${splitAddress(address).host}:${control['peer-port']}`).sort(),
    isFirstStart: control['first-start'],
    toleratedLosses: control['tolerated-losses'],
    announcementMilliseconds: control['announcement-seconds'] * 1000,
    stopMilliseconds: limits['stop-seconds'] * 1000,
    retryBound: { ratio: limits['retry-ratio'], allowance: limits['retry-allowance'], windowMilliseconds: limits['retry-window-seconds'] * 1000 },
    secondAttemptRatio: limits['second-attempt-ratio'],
    revocationMilliseconds: limits['strict-revocation'] ? (limits['revocation-seconds'] ?? DEFAULT_REVOCATION_SECONDS) * 1000 : undefined,
    quotaBounds: {
      windowMilliseconds: limits['quota-window-seconds'] === undefined ? DEFAULT_QUOTA_BOUNDS.windowMilliseconds : limits['quota-window-seconds'] * 1000,
      overage: limits['quota-overage'] ?? DEFAULT_QUOTA_BOUNDS.overage,
      allowance: limits['quota-allowance'] ?? DEFAULT_QUOTA_BOUNDS.allowance
    },
    regions: new Map(Object.entries(regions))
  }
}

function readText (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    const problem = `cannot read ${file}: ${(error as NodeJS.ErrnoException).code ?? String(error)}`
    const fault: SettingsFault = { file, section: '', key: '', problem }
    throw new SettingsError(file, [fault])
  }
}
