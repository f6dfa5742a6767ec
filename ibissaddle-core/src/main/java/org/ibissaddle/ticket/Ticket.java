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
 * Leave to run one call once.
 *
 * @param key idempotency key, 32 hexadecimal digits
 * @param pool pool that serves the call
 * @param workspace workspace of the call
 * @param call hash of method and path, see {@link #callHash}
 * @param owner the one instance that may run the call
 * @param incarnation the one life of that instance that may run it
 * @param deadlineMs after this the call is never started, epoch milliseconds
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
     * Makes a random idempotency key.
     *
     * @param random source of random numbers; a secure one in production
     * @return 32 hexadecimal digits
     */
    public static String newKey(RandomGenerator random) {
        HexFormat hex = HexFormat.of();
        return hex.toHexDigits(random.nextLong()) + hex.toHexDigits(random.nextLong());
    }

    /**
     * Hashes the call that a ticket is for.
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
            throw new IllegalStateException("this Java runtime has no SHA-256; use a complete one", e);
        }
    }

    /**
     * Tells whether the ticket was given out for a call.
     *
     * @param callWorkspace workspace of the call
     * @param method HTTP method, upper case
     * @param path path without query
     * @return whether it is the call of this ticket
     */
    public boolean covers(WorkspaceId callWorkspace, String method, String path) {
        return workspace.equals(callWorkspace) && call.equals(callHash(method, path));
    }
}
