// Undici ships types for its index only.
declare module 'undici/lib/*' {
	const part: unknown;
	export default part;
}
