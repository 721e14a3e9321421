import { okAsync } from "neverthrow";
import type { TableService } from "../../src/contracts/table_service.ts";
import type { TableStore } from "../standins/table_store.ts";

/**
 * @param store - rows in memory
 * @returns the store as a table service that answers at once
 */
export function storeClient(store: TableStore): TableService {
  return {
    transact: (transaction) => okAsync(store.transact(transaction)),
    readRows: (query) => okAsync(store.readRows(query)),
  };
}
