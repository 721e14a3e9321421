/** What an upstream says of its load with an answer. */
export type LoadReport = {
  running: number;
  waiting: number;
  slots: number;
  /** How long work takes there at this moment; 1 is the usual time. */
  slowdown: number;
};
