import { defineCommand } from 'citty'
import { createOperatorClient } from './OperatorClient.js'
import { operatorArguments } from './operatorArguments.js'

/** `hibiscusrelay explain`: explains the answer to a lookup, and the routing of the requests that follow it. */
export const explainCommand = defineCommand({
  meta: { name: 'explain', description: 'Explain one lookup: guest place, shares, pools, entry hosts' },
  args: {
    ...operatorArguments,
    service: { type: 'string', description: 'Service', required: true },
    address: { type: 'string', description: 'Address of the guest', required: true }
  },
  run: async ({ args }) => {
    const query = new URLSearchParams({ service: args.service, address: args.address }).toString()
    const reply = await createOperatorClient(args).get<object>(`/v1/explain?${query}`)
    console.log(JSON.stringify(reply.body, null, 2))
  }
})
