package org.ibissaddle.ticket;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.random.RandomGenerator;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.WorkspaceId;

/**
 * Permission to run a call at most once.
 *
 * @param key idempotency key, 32 hexadecimal digits
 * @param pool pool that handles the call
 * @param workspace workspace of the call
 * @param call hash of the method and path, see {@link #callHash}
 * @param owner the only instance that may run the call
 * @param incarnation the only incarnation of that instance that may run the call
 * @param deadlineMs time after which the call is never started, epoch milliseconds
 */
public record Ticket(
        String key,
        PoolId pool,
        WorkspaceId workspace,
        String call,
        InstanceId owner,
        Incarnation incarnation,
        long deadlineMs) {
    private static final int CALL_HASH_BYTES = 8;

    /**
     * Generates a random idempotency key.
     *
     * @param random random number generator, cryptographically secure in production
     * @return 32 hexadecimal digits
     */
    public static String newKey(RandomGenerator random) {
        HexFormat hex = HexFormat.of();
        return hex.toHexDigits(random.nextLong()) + hex.toHexDigits(random.nextLong());
    }

    /**
     * Computes the hash that binds a ticket to a call.
     *
     * @param method HTTP method, upper case
     * @param path path without query
     * @return the hash
     */
    public static String callHash(String method, String path) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] hash = digest.digest((method + " " + path).getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(Arrays.copyOf(hash, CALL_HASH_BYTES));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime has no SHA-256; use a complete Java runtime", e);
        }
    }

    /**
     * Returns whether the ticket was issued for a call.
     *
     * @param callWorkspace workspace of the call
     * @param method HTTP method, upper case
     * @param path path without query
     * @return whether the ticket was issued for this call
     */
    public boolean covers(WorkspaceId callWorkspace, String method, String path) {
        return workspace.equals(callWorkspace) && call.equals(callHash(method, path));
    }
}
