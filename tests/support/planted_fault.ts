/** A fault that is planted to show that the search finds it. */
export type PlantedFault =
  | "new_leader_grants_at_once"
  | "unconfirmed_leader_moves_shares"
  | "restarted_holder_keeps_share"
  | "duplicate_response_counts"
  | "expiry_ignores_suspension"
  | "region_has_two_holders"
  | "lease_of_holder_never_ends";
