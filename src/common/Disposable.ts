/** Something that is ended once. */
export interface Disposable {
  dispose(): void;
}
