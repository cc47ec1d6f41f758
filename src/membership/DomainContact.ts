/** Time since a host of the sender's failure domain last received a message from another domain. */
export interface DomainContact {
  domain: string
  ageMilliseconds: number
}
