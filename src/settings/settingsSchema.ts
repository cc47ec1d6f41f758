import ipaddr from 'ipaddr.js'
import { z } from 'zod'
import { MAXIMUM_SHEET_BYTES } from '../sheet/sheetLimits.js'
import { splitAddress } from '../utils/splitAddress.js'

const NAME = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'allowed: 1 to 63 of a-z, 0-9 and -, not starting with -')
const ADDRESS = z.string().refine(isAddress, 'allowed: an IP address and a port, for example 127.0.0.1:7100')
const FILE_PATH = z.string().min(1, 'allowed: a path')

function isAddress (text: string): boolean {
  const { host, port } = splitAddress(text)
  return ipaddr.isValid(host) && Number.isInteger(port) && port >= 1 && port <= 65535
}

function createIntegerSchema (minimum: number, maximum: number, defaultValue: number) {
  return z.string().regex(/^\d+$/, `allowed: a whole number from ${minimum} to ${maximum}`)
    .transform(Number)
    .refine((value) => value >= minimum && value <= maximum, `allowed: a whole number from ${minimum} to ${maximum}`)
    .default(defaultValue)
}

const YES_OR_NO = z.union([z.boolean(), z.enum(['yes', 'no'])], 'allowed: yes or no').transform((value) => value === true || value === 'yes')

const hostSection = z.strictObject({
  name: NAME,
  'failure-domain': NAME,
  region: NAME,
  'peer-address': ADDRESS,
  'guest-address': ADDRESS,
  'operator-address': ADDRESS,
  'data-folder': FILE_PATH.optional()
})

const peerSection = z.strictObject({
  'failure-domain': NAME,
  region: NAME,
  'peer-address': ADDRESS,
  'guest-address': ADDRESS,
  'dial-address': ADDRESS.optional(),
  replica: YES_OR_NO.default(false)
})

const limitSection = z.strictObject({
  'request-body-bytes': createIntegerSchema(1024, 67108864, 1048576),
  'header-bytes': createIntegerSchema(4096, 65536, 16384),
  'answer-buffer-bytes': createIntegerSchema(1024, 67108864, 262144),
  'sheet-bytes': createIntegerSchema(1024, MAXIMUM_SHEET_BYTES, MAXIMUM_SHEET_BYTES),
  'queue-length': createIntegerSchema(0, 100000, 256),
  'retry-percent': createIntegerSchema(0, 100, 10),
  'maximum-host-clock-difference-milliseconds': createIntegerSchema(0, 3600000, 5000)
}).prefault({})

const timingSection = z.strictObject({
  'default-deadline-milliseconds': createIntegerSchema(10, 600000, 5000),
  'maximum-deadline-milliseconds': createIntegerSchema(10, 600000, 30000),
  'announcement-milliseconds': createIntegerSchema(50, 10000, 250),
  'lease-milliseconds': createIntegerSchema(200, 60000, 1000),
  'lookup-lifetime-seconds': createIntegerSchema(1, 3600, 3),
  'stop-deadline-milliseconds': createIntegerSchema(100, 600000, 40000)
}).prefault({})

/** Schema of the settings file, by section. */
export const settingsSchema = z.strictObject({
  host: hostSection,
  secrets: z.strictObject({ 'peer-key-file': FILE_PATH, 'operator-tokens-file': FILE_PATH }),
  metrics: z.strictObject({ 'statsd-address': ADDRESS.optional() }).prefault({}),
  limits: limitSection,
  timings: timingSection,
  peer: z.record(NAME, peerSection).default({})
})

/** Content of a settings file that passed the schema, with defaults filled in. */
export type SettingsFile = z.infer<typeof settingsSchema>
