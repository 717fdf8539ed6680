/**
 * HTTP/1.1 connections on Vert.x sockets and Netty's codec. They show what a proxy has to know and
 * an HTTP server or client library hides: whether a request was written, that a client left while
 * requests wait behind another, and bytes that belong to no request.
 */
@NullMarked
package org.acaciapond.http;

import org.jspecify.annotations.NullMarked;
