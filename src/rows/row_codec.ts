/** Converts between the stored value of a row and the text that it holds. */
export type RowCodec = {
  /** @param value - value of a row; throws if it cannot be decoded */
  decode(value: Uint8Array): Uint8Array;
  /** @param text - decoded value */
  encode(text: Uint8Array): Uint8Array;
};
