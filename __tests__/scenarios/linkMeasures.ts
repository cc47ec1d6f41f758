import { ByteMeter } from './ByteMeter.js'
import type { Measure } from './runMeasures.js'

/**
 * Largest number of bytes that hosts of one region sent to hosts of another within one second, control traffic and headers included:
 * `link-bytes-per-second FROM TO`. The forwarders between the hosts count them.
 */
export const measureLinkBytesPerSecond: Measure = (world, [from, to]) => {
  const hosts = [...world.hosts.values()]
  const meters = hosts.flatMap((sender) => hosts.flatMap((receiver) => {
    if (sender.region !== from || receiver.region !== to) return []
    const [requestMeter, answerMeter] = [world.findForwarder(sender.name, receiver.name)?.bytesToTarget, world.findForwarder(receiver.name, sender.name)?.bytesToClient]
    return [requestMeter, answerMeter].filter((meter) => meter !== undefined)
  }))
  return { value: Math.round(ByteMeter.maximumBytesPerSecond(meters)) }
}
