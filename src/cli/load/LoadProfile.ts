/** Deployments whose traffic a load run can imitate. */
export enum LoadProfile {
  Megafonia = 'megafonia',
  Rikkszerviz = 'rikkszerviz'
}
