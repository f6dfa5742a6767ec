package org.ibissaddle.ticket;

import java.nio.charset.StandardCharsets;
import java.security.InvalidKeyException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** The secret shared by all instances of a deployment. It signs the tokens that they issue to callers and to peers. */
public final class DeploymentKey {
    /** Length of a signature, bytes. */
    public static final int SIGNATURE_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";
    /** Minimum length of the secret, bytes. */
    public static final int MIN_SECRET_BYTES = 16;

    private final SecretKeySpec secret;

    private DeploymentKey(SecretKeySpec secret) {
        this.secret = secret;
    }

    /**
     * Creates a key from the configured secret.
     *
     * @param secret at least 16 bytes
     * @return the key
     */
    public static DeploymentKey of(byte[] secret) {
        if (secret.length < MIN_SECRET_BYTES) {
            throw new IllegalArgumentException("the deployment key has " + secret.length
                    + " bytes; set one of at least " + MIN_SECRET_BYTES + " bytes");
        }
        return new DeploymentKey(new SecretKeySpec(secret, ALGORITHM));
    }

    /**
     * Signs content for one purpose. Signatures for different purposes never match.
     *
     * @param purpose what the signature is for, such as {@code ticket}
     * @param content the signed bytes
     * @return the signature
     */
    public byte[] sign(String purpose, byte[] content) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(secret);
            mac.update(purpose.getBytes(StandardCharsets.UTF_8));
            mac.update((byte) 0);
            return Arrays.copyOf(mac.doFinal(content), SIGNATURE_BYTES);
        } catch (NoSuchAlgorithmException | InvalidKeyException e) {
            throw new IllegalStateException(
                    "this Java runtime has no " + ALGORITHM + "; use a complete Java runtime", e);
        }
    }

    /**
     * Checks a signature in constant time.
     *
     * @param purpose what the signature is for
     * @param content the signed bytes
     * @param signature the signature to check
     * @return whether the signature was made with this key for this purpose and content
     */
    public boolean verify(String purpose, byte[] content, byte[] signature) {
        return MessageDigest.isEqual(sign(purpose, content), signature);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof DeploymentKey key && secret.equals(key.secret);
    }

    @Override
    public int hashCode() {
        return secret.hashCode();
    }
}
