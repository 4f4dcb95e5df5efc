import type {FreshnessGate} from './freshness-gate.js';
import type {ServingSession} from './session-types.js';

/** Options of a session that may have to wait for the freshness gate. */
export type GatedSessionOptions = {
	readonly gate: FreshnessGate;
	readonly start: () => ServingSession;
	/** Refuses the request if its session has not started. */
	readonly refuse: (reason: string, retryAfterMs: number) => void;
};

/** Starts a session as soon as the gate lets it pass, which may be at once. */
export function startGatedSession({
	gate,
	start,
	refuse,
}: GatedSessionOptions): ServingSession {
	let session: ServingSession | undefined;
	let isEnded = false;
	const waiting = gate.whenFresh(() => {
		session = start();
	});

	return {
		get isDone() {
			return session?.isDone ?? isEnded;
		},
		get mayHaveRun() {
			return session?.mayHaveRun ?? false;
		},
		callerDisconnected() {
			waiting.dispose();
			isEnded = true;
			session?.callerDisconnected();
		},
		giveUp(reason, retryAfterMs) {
			waiting.dispose();
			if (session) {
				session.giveUp(reason, retryAfterMs);
			} else if (!isEnded) {
				refuse(reason, retryAfterMs);
			}

			isEnded = true;
		},
	};
}
