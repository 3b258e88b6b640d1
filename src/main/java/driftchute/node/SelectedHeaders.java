package driftchute.node;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Header fields of which only those that this program reads are kept; all of them are validated. A field takes some 150
 * bytes of the heap however short it is, so a head of 8 KB with very many of them would take a hundred times as much.
 */
final class SelectedHeaders extends DefaultHttpHeaders {
    /** Maximum number of fields that are kept, so that one repeated very often does not take as much either. */
    static final int MAX_FIELDS = 100;

    private static final List<String> FRAMING_FIELDS = List.of("Connection", "Content-Length", "Transfer-Encoding");

    private final Set<String> names;
    private int fields;

    private SelectedHeaders(final Set<String> names) {
        this.names = names;
    }

    /** Creates headers that keep the fields of these names, and those that frame a message. */
    static HttpHeadersFactory keeping(final String... fieldNames) {
        final Set<String> names = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        names.addAll(FRAMING_FIELDS);
        Collections.addAll(names, fieldNames);
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new SelectedHeaders(names);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return new SelectedHeaders(names);
            }
        };
    }

    /** @throws TooLongHttpHeaderException if there are more than {@link #MAX_FIELDS} fields of the names that are kept */
    @Override
    public HttpHeaders add(final CharSequence name, final Object value) {
        super.add(name, value);
        return keepOrRemove(name.toString());
    }

    /** @throws TooLongHttpHeaderException if there are more than {@link #MAX_FIELDS} fields of the names that are kept */
    @Override
    public HttpHeaders add(final String name, final Object value) {
        super.add(name, value);
        return keepOrRemove(name);
    }

    private HttpHeaders keepOrRemove(final String name) {
        if (!names.contains(name)) {
            return remove(name);
        }
        fields++;
        if (fields > MAX_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + MAX_FIELDS + " header fields");
        }
        return this;
    }
}
