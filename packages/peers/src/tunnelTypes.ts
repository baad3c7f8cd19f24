/** Why an instance opened no tunnel for another one. */
export type TunnelRefusal =
  /** The secret is not that of the instance. */
  | 'unauthorized'
  /** The instance knows no such endpoint. */
  | 'unknown-endpoint'
  /** The instance can't reach the endpoint either. */
  | 'no-path'
  /** The instance has a sound path, and nothing listens at the endpoint's address. */
  | 'refused'
  /** The instance drains or has too many tunnels. */
  | 'closing';

/** Why a tunnel did not open. Nothing was sent through it. */
export type TunnelError = TunnelRefusal | 'unreachable';

/** HTTP status with which a tunnel is refused. */
export const RefusalStatus: Record<TunnelRefusal, number> = {
  unauthorized: 401,
  'unknown-endpoint': 404,
  'no-path': 504,
  refused: 502,
  closing: 503,
};
