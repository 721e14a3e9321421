import { okAsync } from "neverthrow";
import type { TableService } from "../../src/contracts/table_service.ts";
import type { TableStore } from "../standins/table_store.ts";

/**
 * Adapts an in-memory store to the interface of the table service.
 *
 * @param store - rows in memory
 * @returns a table service that answers immediately
 */
export function storeClient(store: TableStore): TableService {
  return {
    transact: (transaction) => okAsync(store.transact(transaction)),
    readRows: (query) => okAsync(store.readRows(query)),
  };
}
