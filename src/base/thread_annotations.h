#pragma once

// Lock annotations that clang checks with -Wthread-safety; other compilers ignore them.
#if defined(__clang__)
#define SAPPHIRECRANK_ANNOTATION(x) __attribute__((x))
#else
#define SAPPHIRECRANK_ANNOTATION(x)
#endif

#define CAPABILITY(x) SAPPHIRECRANK_ANNOTATION(capability(x))
#define SCOPED_CAPABILITY SAPPHIRECRANK_ANNOTATION(scoped_lockable)
#define GUARDED_BY(x) SAPPHIRECRANK_ANNOTATION(guarded_by(x))
#define REQUIRES(...) SAPPHIRECRANK_ANNOTATION(requires_capability(__VA_ARGS__))
#define ACQUIRE(...) SAPPHIRECRANK_ANNOTATION(acquire_capability(__VA_ARGS__))
#define RELEASE(...) SAPPHIRECRANK_ANNOTATION(release_capability(__VA_ARGS__))
#define EXCLUDES(...) SAPPHIRECRANK_ANNOTATION(locks_excluded(__VA_ARGS__))
