import {
	type CallerServer,
	createCallerServer,
	createCompletionsHandler,
	createServicesHandler,
	createStreamTokenSigner,
} from '../../adapters/callers/index.js';
import type {Metrics} from '../../adapters/system/index.js';
import type {Clock} from '../../common/index.js';
import type {BookingCoordinator} from '../../decisions/bookings/index.js';
import type {EffectiveSettings} from '../../decisions/configuration/index.js';
import type {ExplainLog} from '../../decisions/explain/index.js';
import type {RelayComponents} from './relay-components.js';
import type {EntrySettings} from './settings.js';

/** What the server towards callers works with. */
export type EntryCallerServerOptions = {
	readonly settings: EntrySettings;
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly explainLog: ExplainLog;
	readonly relayComponents: RelayComponents;
	readonly bookings: BookingCoordinator;
	readonly settingsFor: (
		account: string,
		requestClass: string,
	) => EffectiveSettings;
	readonly isReady: () => boolean;
	readonly isStopping: () => boolean;
};

/** The server towards callers and what it has open. */
export type EntryCallerServer = CallerServer & {
	openStreams(): number;
};

/** Wires the server towards callers; its owner makes it listen. */
export function createEntryCallerServer(
	options: EntryCallerServerOptions,
): EntryCallerServer {
	const {settings, clock, metrics, explainLog, relayComponents, isReady} =
		options;
	const sessions = new Set<object>();
	const page = (status: number, body: string) => () => ({status, body});
	const ready = page(200, 'ready\n');
	const notReady = page(503, 'not ready\n');
	const callers = createCallerServer({
		accountTokens: settings.accountTokens,
		maxHeaderBytes: settings.maxHeaderBytes,
		receiveTimeoutMs: settings.relay.requestTimeoutMs,
		isStopping: options.isStopping,
		pages: new Map([
			['/healthz', page(200, 'ok\n')],
			['/readyz', () => (isReady() ? ready() : notReady())],
			['/metrics', () => ({status: 200, body: metrics.text()})],
		]),
		handleCompletions: createCompletionsHandler({
			maxBodyBytes: settings.maxBodyBytes,
			maxOpenStreams: settings.relay.maxOpenStreams,
			streamTokenSigner: createStreamTokenSigner(settings.streamKey),
			settingsFor: options.settingsFor,
			relay: relayComponents.relay,
			metricsFor: relayComponents.metricsFor,
			onSession(session) {
				sessions.add(session);
				return {
					dispose() {
						sessions.delete(session);
					},
				};
			},
		}),
		handleServices: createServicesHandler({
			maxBodyBytes: settings.maxBodyBytes,
			retentionMs: settings.bookingRetentionMs,
			callTimeoutMs: settings.callTimeoutMs,
			wallMs: () => clock.wallMs(),
			bookings: options.bookings,
			serviceCaller: relayComponents.serviceCaller,
			nowMs: () => clock.nowMs(),
		}),
		onProblem(problem, requestId) {
			metrics.count('problems', {type: problem.type});
			explainLog.add({
				atWallMs: clock.wallMs(),
				kind: 'refusal',
				subject: requestId,
				cause: problem.detail,
				result: problem.type,
			});
		},
	});
	return {...callers, openStreams: () => sessions.size};
}
