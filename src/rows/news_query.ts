import { z } from "zod";
import { TableNews } from "./table_news.ts";

/** A VM asks another one of its region what has changed in the store. */
export const NewsQuery = {
  method: "rows.news",
  params: z.object({
    /** Version of each table up to which the asking VM knows its changes. */
    known: z.record(z.string(), z.number()),
  }),
  result: z.object({
    /** News of the tables that the called VM knows to be complete. */
    news: z.record(z.string(), TableNews),
  }),
};
