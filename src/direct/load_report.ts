/** Load that an upstream reports with an answer. */
export type LoadReport = {
  /** Requests that it runs. */
  running: number;
  /** Requests in its queue. */
  waiting: number;
  /** Requests that it can run concurrently. */
  slots: number;
  /** Factor by which work currently takes longer; 1 is the usual time. */
  slowdown: number;
};
