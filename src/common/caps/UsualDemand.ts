/**
 * Time over which the usual demand of a customer is measured, at a gateway and over all of them: two
 * windows, so that a surge of some seconds changes it little.
 */
export const USUAL_DEMAND_MS = 10_000;

/**
 * Usual demand, as a share of the rate, from which updates list a customer. A gateway without updates
 * assumes at least this demand for every customer.
 */
export const LISTED_DEMAND_SHARE = 0.5;
