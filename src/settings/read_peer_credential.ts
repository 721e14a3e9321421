import { err, ok, type ResultAsync } from "neverthrow";
import type { DocumentError } from "./document_error.ts";
import { readTextFile } from "./read_text_file.ts";
import type { Settings } from "./settings.ts";

const SETTING_PATH = ["peers", "credentialFile"];
const ALLOWED_CONTENT = "a readable file that holds a credential in one line";

/**
 * Reads the file that the settings name as `peers.credentialFile`.
 *
 * @param file - name of the settings file, for error messages
 * @param cfg - its settings
 * @returns the credential that routers send to each other, or why it cannot be
 * read
 */
export function readPeerCredential(
  file: string,
  cfg: Settings,
): ResultAsync<string, DocumentError> {
  const { credentialFile } = cfg.peers;
  const fail = (found: string): DocumentError => ({
    file,
    problems: [{
      path: SETTING_PATH,
      found: `${credentialFile}, ${found}`,
      allowed: ALLOWED_CONTENT,
    }],
  });
  return readTextFile(credentialFile)
    .mapErr(({ problems }) => fail(problems[0]?.found ?? "unreadable"))
    .andThen((text) => {
      const credential = text.trim();
      if (credential === "") return err(fail("an empty file"));
      return /^[\x21-\x7e]+$/.test(credential)
        ? ok(credential)
        : err(fail("a file with other characters"));
    });
}
