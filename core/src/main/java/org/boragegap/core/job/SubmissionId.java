package org.boragegap.core.job;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.boragegap.core.claim.ClaimKey;

/**
 * Identifies a submission, and states when and, if known, where it was created.
 *
 * <p>Forms: a version 7 UUID; {@code domain~uuid}, which names the home failure domain; {@code
 * domain~host:port~uuid}, minted by the entry VM at that address, the only one that may start the
 * submission; any other text, together with its creation time.
 *
 * @param text the id as given
 * @param createdMs creation time, milliseconds since the Unix epoch
 * @param domain home failure domain, when the id names it
 * @param minter peer address of the entry VM that minted the id, if one did
 */
public record SubmissionId(
        String text, long createdMs, Optional<String> domain, Optional<String> minter) {

    private static final Pattern ALLOWED_TEXT = Pattern.compile("[A-Za-z0-9._:~-]{1,128}");
    private static final Pattern STRUCTURED =
            Pattern.compile("(?:([a-z0-9-]{1,32})~)?(?:([a-z0-9.:-]{1,64})~)?([0-9a-f-]{36})");
    private static final int TIME_ORDERED_VERSION = 7;
    private static final int TIMESTAMP_SHIFT = 16;

    /** Result of parsing an id. */
    public sealed interface ParseResult {

        /**
         * The text is a valid id.
         *
         * @param id the id
         */
        record Valid(SubmissionId id) implements ParseResult {}

        /**
         * The text is not a valid id.
         *
         * @param reason explanation for the caller in one line
         */
        record Invalid(String reason) implements ParseResult {}
    }

    /** Parses an id; {@code created} is required when the text contains no creation time. */
    public static ParseResult parse(String text, OptionalLong created) {
        if (!ALLOWED_TEXT.matcher(text).matches()) {
            return new ParseResult.Invalid(
                    "id must be 1 to 128 characters of A-Z a-z 0-9 . _ : ~ -");
        }
        Matcher matcher = STRUCTURED.matcher(text);
        if (matcher.matches()) {
            Optional<SubmissionId> id = parseStructured(text, matcher);
            if (id.isPresent()) {
                return new ParseResult.Valid(id.get());
            }
        }
        if (text.indexOf('~') >= 0) {
            return new ParseResult.Invalid("id with ~ must be domain~uuid, uuid of version 7");
        }
        if (created.isEmpty()) {
            return new ParseResult.Invalid(
                    "id must be a UUID of version 7, or come with its created time");
        }
        return new ParseResult.Valid(
                new SubmissionId(text, created.getAsLong(), Optional.empty(), Optional.empty()));
    }

    private static Optional<SubmissionId> parseStructured(String text, Matcher matcher) {
        UUID uuid;
        try {
            uuid = UUID.fromString(matcher.group(3));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
        if (uuid.version() != TIME_ORDERED_VERSION) {
            return Optional.empty();
        }
        long createdMs = uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT;
        return Optional.of(
                new SubmissionId(
                        text,
                        createdMs,
                        Optional.ofNullable(matcher.group(1)),
                        Optional.ofNullable(matcher.group(2))));
    }

    /** Makes an id whose submission only the entry VM at {@code minter} may start. */
    public static SubmissionId mint(String domain, String minter, UUID uuid) {
        String text = domain + '~' + minter + '~' + uuid;
        long createdMs = uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT;
        return new SubmissionId(text, createdMs, Optional.of(domain), Optional.of(minter));
    }

    /** Key under which this id is claimed. */
    public ClaimKey claimKey() {
        return ClaimKey.of(text, createdMs);
    }
}
