package org.boragegap.core.bundle;

import java.util.Optional;

/**
 * A bundle with the result of checking its signatures and parsing its body.
 *
 * @param bundle the bundle
 * @param content its content; empty when the bundle is invalid
 * @param problem why the bundle is invalid; empty when it is valid
 */
public record CheckedBundle(Bundle bundle, Optional<BundleContent> content, String problem) {

    /** A valid bundle. */
    public static CheckedBundle valid(Bundle bundle, BundleContent content) {
        return new CheckedBundle(bundle, Optional.of(content), "");
    }

    /** An invalid bundle. */
    public static CheckedBundle invalid(Bundle bundle, String problem) {
        return new CheckedBundle(bundle, Optional.empty(), problem);
    }
}
