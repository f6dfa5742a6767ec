package org.ibissaddle.daemon.settings;

import java.nio.charset.StandardCharsets;
import java.security.InvalidKeyException;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** The secret that the instances of a deployment share. Never printed. */
public final class DeploymentKey {
    /** Least length of the secret, bytes. */
    public static final int MIN_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";
    private static final String EXAMPLE = "replace-this-with-a-secret";

    private final byte[] secret;

    /**
     * Wraps a secret.
     *
     * @param secret at least {@link #MIN_BYTES} bytes
     */
    public DeploymentKey(byte[] secret) {
        if (secret.length < MIN_BYTES) {
            throw new IllegalArgumentException(
                    "deployment key has " + secret.length + " bytes: use at least " + MIN_BYTES);
        }
        this.secret = secret.clone();
    }

    /**
     * Tells whether this is the secret that the example settings show.
     *
     * @return whether anybody can know it
     */
    public boolean isExample() {
        return Arrays.equals(secret, EXAMPLE.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns a copy of the secret, for signers of the decision library.
     *
     * @return the bytes of the secret
     */
    public byte[] bytes() {
        return secret.clone();
    }

    /**
     * Signs bytes with HMAC-SHA256.
     *
     * @param message what to sign
     * @return 32 bytes
     */
    public byte[] sign(byte[] message) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret, ALGORITHM));
            return mac.doFinal(message);
        } catch (NoSuchAlgorithmException | InvalidKeyException e) {
            throw new IllegalStateException("the Java runtime has no " + ALGORITHM + ": use a complete JDK", e);
        }
    }

    @Override
    public String toString() {
        return "DeploymentKey[secret]";
    }
}
