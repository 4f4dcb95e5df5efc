import {initTRPC, TRPCError} from '@trpc/server';
import * as z from 'zod';
import type {
	BookingStatusRequest,
	BookingStatus,
} from '../../decisions/bookings/index.js';
import {
	type StopResponse,
	type StopRequest,
	toProblem,
} from '../../common/index.js';
import type {ConfigurationChange} from '../../decisions/configuration/index.js';
import type {ExplainRecord} from '../../decisions/explain/index.js';
import type {PackedMessage} from '../../decisions/membership/index.js';

/** What an entry VM tells peers and operators about itself. */
export type EntryStatus = {
	readonly name: string;
	readonly instanceId: string;
	readonly availabilityZone: string;
	readonly configurationVersion: number;
	readonly ready: boolean;
	readonly stopping: boolean;
	readonly openStreams: number;
	/** True while neither the table service nor any peer can be asked for a newer configuration. */
	readonly cutOff: boolean;
	/** Requests of callers that have no whole answer yet; a planned stop waits for them. */
	readonly openExchanges: number;
	/** Callers that left and whose generations go on until their resume windows end. */
	readonly awaitedCallers: number;
};

/** What the procedures call. */
export type PeerRouterOptions = {
	readonly status: () => EntryStatus;
	readonly configurationAfter: (
		version: number,
	) => readonly ConfigurationChange[];
	readonly markTargetLeaving: (targetId: string) => void;
	/**
	 * Takes a membership message and gives the reply.
	 * @throws ProblemError `peer-protocol` if it is malformed
	 */
	readonly exchange: (message: unknown) => PackedMessage;
	readonly metricsText: () => string;
	readonly bookingStatus: (
		question: BookingStatusRequest,
	) => Promise<BookingStatus>;
	/** Answers a later holder of a lease. */
	readonly confirmStop: (question: StopRequest) => StopResponse;
	/** Records of commands for a target, or of a calendar minute. */
	readonly explain: (query: ExplainQuery) => readonly ExplainRecord[];
};

/** Selects records of commands. */
export type ExplainQuery =
	{readonly subject: string} | {readonly minute: number};

/** Role that the caller's token grants. */
export type PeerContext = {readonly role: 'peer' | 'operator' | undefined};

/** Longest time for which an owner lets a peer wait, in milliseconds. */
export const maxBookingWaitMs = 30_000;

const trpc = initTRPC
	.context<PeerContext>()
	// Without this, error bodies hold stack traces unless NODE_ENV is "production".
	.create({isDev: false});

const authorized = trpc.procedure.use(async ({ctx, next}) => {
	if (ctx.role === undefined) {
		throw new TRPCError({
			code: 'UNAUTHORIZED',
			message: 'a valid peer or operator token is required',
		});
	}

	return next();
});

const fromPeer = authorized.use(async ({ctx, next}) => {
	if (ctx.role !== 'peer') {
		throw new TRPCError({
			code: 'FORBIDDEN',
			message: 'only entry VMs exchange membership messages',
		});
	}

	return next();
});

/** Creates the procedures that entry VMs offer to each other and to operators. */
export function createPeerRouter(options: PeerRouterOptions) {
	return trpc.router({
		status: authorized.query(() => options.status()),
		configurationAfter: authorized
			.input(z.object({version: z.number().int().min(0)}))
			.query(({input}) => options.configurationAfter(input.version)),
		targetLeaving: authorized
			.input(z.object({targetId: z.string()}))
			.mutation(({input}) => {
				options.markTargetLeaving(input.targetId);
			}),
		bookingStatus: authorized
			.input(
				z.object({
					account: z.string(),
					key: z.string(),
					owner: z.string(),
					attemptId: z.string(),
					waitMs: z.number().min(0).max(maxBookingWaitMs),
				}),
			)
			.query(async ({input}) => options.bookingStatus(input)),
		exchange: fromPeer
			// Checked by the handler, which names and counts what is malformed.
			.input((message: unknown) => message)
			.mutation(({input}) => {
				try {
					return options.exchange(input);
				} catch (error) {
					const problem = toProblem(error);
					throw new TRPCError({
						code: 'BAD_REQUEST',
						message: problem.detail,
						cause: problem,
					});
				}
			}),
		confirmStop: fromPeer
			.input(
				z.object({
					targetId: z.string(),
					holder: z.object({
						vmInstanceId: z.string(),
						incarnation: z.string(),
						listSequence: z.number().int(),
					}),
					fencingNumber: z.number().int().min(0),
				}),
			)
			.mutation(({input}) => options.confirmStop(input)),
		explain: authorized
			.input(
				z.union([
					z.object({subject: z.string()}),
					z.object({minute: z.number().int().min(0)}),
				]),
			)
			.query(({input}) => options.explain(input)),
		metrics: authorized.query(() => options.metricsText()),
	});
}

/** Type of the procedures, for clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
