/**
 * HTTP/1.1 server and client connections on Vert.x sockets and Netty's codec. They expose what a
 * proxy needs and HTTP libraries hide: whether a request was written, that a client disconnected
 * while its pipelined requests wait, and received bytes that belong to no request. Broken responses
 * that the codec would repair are rejected, also for the HTTP client of Vert.x.
 */
@NullMarked
package org.acaciapond.http;

import org.jspecify.annotations.NullMarked;
