/** Client of the platform's object store. Failures are `object-store-unavailable`. */
export abstract class ObjectStore {
	/** @returns the object, or undefined if it is absent */
	abstract get(name: string): Promise<string | undefined>;

	/** Creates or replaces an object. */
	abstract put(name: string, body: string): Promise<void>;
}
