package driftchute.fleet.session;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Computes the identifier under which all couriers know a session: the messages of one account to one destination. */
public final class SessionId {
    private SessionId() {}

    /**
     * The first 64 bits of SHA-256 (FIPS 180-4) over destination and account, so that nobody can easily choose an
     * account that shares another's class. Takes about a microsecond; callers that need it per message should cache it.
     *
     * @param account the tenant's name; without tenants, a name for one client connection that is unique in the tier
     */
    public static long of(final String account, final long destination) {
        try {
            final MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(ByteBuffer.allocate(Long.BYTES).putLong(0, destination));
            return ByteBuffer.wrap(digest.digest(account.getBytes(StandardCharsets.UTF_8)))
                    .getLong();
        } catch (final NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
