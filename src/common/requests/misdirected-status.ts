/** Status with which a target refuses a request that was meant for another target. */
export const misdirectedStatus = 421;
