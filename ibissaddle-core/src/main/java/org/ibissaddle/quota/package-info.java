/**
 * Quotas of workspaces over all instances: one instance issues leases on the tokens of a workspace, the others spend
 * them.
 *
 * <p>Start with {@link org.ibissaddle.quota.QuotaIssuer} for the issuing side and
 * {@link org.ibissaddle.quota.QuotaLeases} for the spending side.
 */
package org.ibissaddle.quota;
